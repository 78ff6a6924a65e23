#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler alone. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for source in review/*/case.rs; do
  name=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -A dead_code -o "$out/case-$name" "$source"
done
