#!/bin/sh
# Builds the stand-ins of all scripts: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2021 -O review/standins/main.rs -o target/review/standins
