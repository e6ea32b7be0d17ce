#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They need no libraries.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
