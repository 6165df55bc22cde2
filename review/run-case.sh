#!/bin/sh
# Runs a scenario of the stand-ins, with the programs that the deploy file and build.sh have built:
# run-case.sh SCENARIO FOLDER
cd "$(dirname "$0")/.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
target/review/standins "$1" "$2"
status=$?
rm -rf "$TMPDIR"
[ "$status" -le 1 ] && exit "$status"
exit 2
