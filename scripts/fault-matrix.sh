#!/usr/bin/env bash
# Runs the fault injection matrix described in docs/FAULTS.md.
#
# usage: scripts/fault-matrix.sh --seeds A..B [--only FAULT[@STEP]] [--jobs N] [--short]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/debug/agatestair-testbed" matrix "$@"
