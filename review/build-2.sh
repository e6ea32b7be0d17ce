#!/bin/sh
# Builds the stand-ins of the cases 6 and later, which need nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name review_standin_2 -o target/review-2/standin review/standin-2/main.rs
