#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 to 10 into target/review-2. Needs rustc alone, no network. The programs under
# test are those that the deploy file's `build` has built.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-name standins --crate-type rlib -o "$out/libstandins.rlib" review/standins-2/standins.rs
for case in review/{6,7,8,9,10}/play.rs; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O --crate-name "case_$number" --extern "standins=$out/libstandins.rlib" -L "$out" \
    -o "$out/case-$number" "$case"
done
