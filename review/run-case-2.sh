#!/usr/bin/env bash
# Plays case N of review 2: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. At most 120 s; ends every process that it started.
set -uo pipefail
number=$1
cd "$(dirname "$0")/.."
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/release/ivypitch ] || {
  echo "build first: the deploy file's build, then review/build-2.sh"
  exit 2
}
TMPDIR=$(mktemp -d)
export TMPDIR
set -m # the case and all that it starts are one process group
"$program" "review/$number" &
pid=$!
set +m
end() {
  kill -KILL -- "-$pid" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap 'end; exit 2' INT TERM
for _ in $(seq 1150); do
  kill -0 "$pid" 2>/dev/null || break
  sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
  echo "cannot run: not over after 115 s"
  end
  exit 2
fi
wait "$pid"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$TMPDIR" "$KEEP_LOGS"; fi
end
[ "$code" -le 1 ] && exit "$code"
exit 2
