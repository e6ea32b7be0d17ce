#!/bin/sh
# Builds the stand-ins that the scripts start, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = platform ] || rustc --edition 2021 -O "$source" -o "target/review/$name"
done
