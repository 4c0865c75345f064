#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. They have no dependencies, so
# that the toolchain alone is enough.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standins-2/main.rs
