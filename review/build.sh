#!/bin/sh
# Builds the project's program and checks that the stand-ins of the scripts can be loaded.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p mimosabay-daemon
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c 'import review_site'
