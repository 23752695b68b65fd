#!/bin/sh
# Builds the stand-ins of the review's cases: one program, of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.build
rustc --edition 2024 -O -o review/.build/standins review/standins/main.rs
