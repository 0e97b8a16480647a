#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 to 8 start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
