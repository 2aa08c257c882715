#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded, and builds the project's program.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p mimosabay-daemon
python3 -m py_compile review/common/review_site.py
rm -rf review/common/__pycache__
