#!/usr/bin/env bash
# Makes the measurements of docs/CAPACITY.md again, one after another.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
run() { echo "== $1 $2"; cargo run --release -q -p "cactusnotch-$1" --example "$2"; }
run lab capacity
run lab load_tables
run spread spread_cost
run claim claims
run ledger memory
run admit quota_cost
run route policies
run switch switch_cost
run settings size
run history order
run placement traces
