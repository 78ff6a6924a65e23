# Sourced by the `run.sh` of each case, with `number` set: starts the case's stand-ins with a temporary folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case-$number"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ -z "$run" ] || [ ! -x "$root/target/release/ivypitch" ]; then
  echo "could not run: build with the deploy file's command and review/build.sh first"
  exit 2
fi
temp=$(mktemp -d) || exit 2
CASE_ROOT=$root CASE_TEMP=$temp CASE_RUN=$run CASE_RECORD=$folder/record.txt "$program"
code=$?
[ -z "${CASE_LOGS:-}" ] || cp "$temp"/*.log "$CASE_LOGS"/
rm -rf "$temp"
exit $code
