#!/usr/bin/env bash
# Measures the resource use of one control process at several sizes of a deployment and prints one
# JSON object per line.
#
# usage: scripts/control-cost.sh [SECONDS]
#
# AGATESTAIR_BINARIES is a folder with built binaries; if unset, a release build is used.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
target=${AGATESTAIR_BINARIES:-}
if [ -z "$target" ]; then
    cargo build --quiet --release -p agatestair-control --bins --example control_cost
    target=${CARGO_TARGET_DIR:-target}/release
fi
folder=$(mktemp -d)
control=
finish() {
    [ -z "$control" ] || kill "$control" 2>/dev/null || true
    rm -rf "$folder"
}
trap finish EXIT

# usage: measure PORT INSTANCES ENDPOINTS CUSTOMERS
measure() {
    cat >"$folder/control.jsonc" <<JSON
{
  "instance": {"name": "entry-001", "domain": "domain", "region": "region"},
  "listen": "127.0.0.1:$(($1 + 1))", "admin": "127.0.0.1:$(($1 + 2))",
  "entry": "127.0.0.1:$(($1 + 3))", "platform": {"address": "127.0.0.1:$1"},
  "link": {"key": "cost"}, "services": [{"name": "lexicon-models"}]
}
JSON
    "$target/agatestair-control" --config "$folder/control.jsonc" 2>"$folder/log" &
    control=$!
    "$target/examples/control_cost" --pid "$control" --port "$1" --instances "$2" \
        --endpoints "$3" --customers "$4" --seconds "$seconds"
    kill -KILL "$control"
    wait "$control" 2>/dev/null || true
    control=
}

# Each measurement uses consecutive ports from PORT: one per instance and ten more. They lie above
# the operating system's range of ephemeral ports.
port=61000
for instances in 2 4 8 16; do measure $port "$instances" 17 100; port=$((port + 50)); done
for endpoints in 20 40 160 910; do measure $port 8 "$endpoints" 100; port=$((port + 50)); done
for customers in 10 100 1000 3100; do measure $port 8 17 "$customers"; port=$((port + 50)); done
measure 62000 64 17 100
measure 62200 340 17 100
measure 62800 340 910 3100
