#!/bin/sh
# Builds the stand-ins of cases 14 to 17 from the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc --edition 2024 -O -o target/review-4/stand.new review/stand-4/main.rs
mv target/review-4/stand.new target/review-4/stand
