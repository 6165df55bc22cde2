#!/usr/bin/env bash
# Runs real front processes under random faults generated from seeds and checks what callers and
# runners observe.
#
# usage: scripts/soak.sh [--seeds A..B] [--jobs N]
#
# Exit codes: 0 all promises hold, 1 invalid arguments, 101 a promise was violated for a seed.
set -euo pipefail
cd "$(dirname "$0")/.."
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds) export SOAK_SEEDS="${2:?--seeds needs a range, for example 1..50}"; shift 2 ;;
    --jobs) export SOAK_JOBS="${2:?--jobs needs a number}"; shift 2 ;;
    *) echo "unknown argument $1; usage: scripts/soak.sh [--seeds A..B] [--jobs N]" >&2; exit 1 ;;
  esac
done
cargo test --quiet -p agatestair-platform --test soak -- --nocapture
