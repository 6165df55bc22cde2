#!/usr/bin/env bash
# Checks formatting, lints, generated code and documentation.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --quiet --workspace --all-targets -- -D warnings
cargo run --quiet -p agatestair-codegen -- --check
RUSTDOCFLAGS="-D warnings" cargo doc --quiet --workspace --no-deps
