#!/usr/bin/env bash
# Builds the stand-ins of the third review with the compiler alone: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in runner crash old_configuration many_parts; do
    rustc --edition 2024 -O "review/standins-3/$name.rs" -o "target/review-3/$name"
done
