#!/usr/bin/env bash
# Runs both example deployments at full size under a mixed load, with a plan change, a drain and a
# replacement during the run, and prints the checked promises and the measurements.
#
# usage: scripts/demo.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
bin=${CARGO_TARGET_DIR:-target}/debug
work=$(mktemp -d)
pids=()

# Closing the standard input of a deployment stops it and all of its processes.
cleanup() {
  trap - EXIT INT TERM
  exec 3>&- 4>&- || true
  for pid in "${loads[@]:-}" "${pids[@]:-}"; do
    [ -z "$pid" ] || kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]:-}"; do
    [ -z "$pid" ] || wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
loads=()
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1
  mkfifo "$work/$name.in"
  "$bin/agatestair-testbed" up --deployment "$name" --entries 7 --seed "$seed" \
    --out "$work/$name.json" <"$work/$name.in" 2>"$work/$name.err" 3>&- 4>&- &
  pids+=($!)
}

wait_up() {
  local name=$1 pid=$2
  until [ -s "$work/$name.json" ]; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "deployment $name did not start:" >&2
      cat "$work/$name.err" >&2
      exit 1
    fi
    sleep 0.1
  done
}

field() {
  sed -n "s/^  \"$2\": \"\(.*\)\",\?$/\1/p" "$work/$1.json"
}

# Makes each change with `agatestairctl` and waits until it is applied.
change() {
  local name=$1 engines=$2 ctl
  ctl="$bin/agatestairctl --config $(field "$name" ctl)"
  sed 's/"name": "standard", "priority": 50/"name": "standard", "priority": 60/' \
    "$(field "$name" plans)" >"$work/$name.plans.jsonc"
  echo "$name: changing a plan"
  $ctl apply "$work/$name.plans.jsonc" "$(field "$name" allowances)" --wait
  echo "$name: draining $engines-1"
  $ctl endpoint drain "$engines-1" --wait
  $ctl endpoint undo "$engines-1"
  echo "$name: replacing $engines-2 by $engines-1"
  $ctl endpoint replace "$engines-2" --by "$engines-1" --wait
}

echo "building"
cargo build --quiet --workspace --bins
started=$SECONDS

echo "starting both deployments with 7 entries each"
start lexicon
exec 3>"$work/lexicon.in"
start fitline
exec 4>"$work/fitline.in"
wait_up lexicon "${pids[0]}"
wait_up fitline "${pids[1]}"

status=0
for name in lexicon fitline; do
  "$bin/agatestair-load" run mixed --deployment "$work/$name.json" --seed "$seed" \
    --json "$work/$name.results" >"$work/$name.out" 2>&1 3>&- 4>&- &
  loads+=($!)
done
sleep 3
change lexicon lexicon-models || status=1
change fitline chat-models || status=1
for pid in "${loads[@]}"; do
  wait "$pid" || status=1
done
loads=()
cat "$work/lexicon.out" "$work/fitline.out"
echo "the demo took $((SECONDS - started)) s after the build"
exit $status
