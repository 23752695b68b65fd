#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10) after the build of the deploy file. Needs the Rust tool
# chain alone; no package, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
