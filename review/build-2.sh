#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/site review/6/stand-ins/main.rs
