#!/bin/sh
# Builds the stand-ins of the second review, which need the standard library only. The project's own
# program comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/stand review/stand-2/main.rs
