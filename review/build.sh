#!/usr/bin/env bash
# Builds the stand-ins of the scripts, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O --crate-name standin -o target/review/standin review/standins/main.rs
