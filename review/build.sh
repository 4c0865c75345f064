#!/usr/bin/env bash
# Builds the stand-ins and tests of the review into target/review. They have no dependencies, so that the
# toolchain alone is enough.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/standins/main.rs
