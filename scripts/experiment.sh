#!/usr/bin/env bash
# usage: scripts/experiment.sh SCENARIO [--seeds A..B] [--deployment lexicon|fitline] [--policies LIST]
#                              [--out FOLDER] [--load FACTOR] [--entries N] [--engines N]
# Starts one deployment per policy, runs the scenario on all of them, one seed at a time, and prints
# the results side by side. Writes one JSON object per policy. Stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    sed -n '2,5s/^# //p' "$0"
    exit "$1"
}

[ $# -ge 1 ] || usage 1
case "$1" in -h | --help) usage 0 ;; esac
scenario=$1
shift
seeds=1..1 deployment=lexicon policies=own,round_robin,least_reported out= load_factor=1 up=()
while [ $# -gt 0 ]; do
    [ $# -ge 2 ] || { echo "$1 needs a value" >&2; usage 1; }
    case "$1" in
    --seeds) seeds=$2 ;;
    --deployment) deployment=$2 ;;
    --policies) policies=$2 ;;
    --out) out=$2 ;;
    --load) load_factor=$2 ;;
    --entries | --engines) up+=("$1" "$2") ;;
    *) echo "unknown option $1" >&2; usage 1 ;;
    esac
    shift 2
done
case "$scenario" in
overhead)
    # Enough engines for 50 open streams at each of three entries.
    [ ${#up[@]} -gt 0 ] || up=(--entries 3 --engines 40)
    policies=own
    ;;
fleet-change | config-spread | control-cost) policies=own ;;
esac

cargo build --quiet --release -p agatestair-entry -p agatestair-control -p agatestair-standins \
    -p agatestair-testbed -p agatestair-load
bin=target/release
folder=$(mktemp -d)
inputs=()
load_pid=

# Closing the standard input of `up` stops the deployment and all of its processes.
cleanup() {
    local fd
    [ -z "$load_pid" ] || kill "$load_pid" 2>/dev/null || true
    for fd in "${inputs[@]}"; do
        exec {fd}>&-
    done
    wait
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

files=()
for policy in ${policies//,/ }; do
    file=$folder/$policy.json
    mkfifo "$folder/$policy.input"
    "$bin/agatestair-testbed" up --deployment "$deployment" --policy "$policy" "${up[@]}" \
        --out "$file" <"$folder/$policy.input" &
    pid=$!
    exec {fd}>"$folder/$policy.input"
    inputs+=("$fd")
    until [ -s "$file" ]; do
        kill -0 "$pid" 2>/dev/null || { echo "deployment for policy $policy did not start" >&2; exit 1; }
        sleep 0.2
    done
    files+=(--deployment "$file")
done

json=${out:-$folder}/$scenario-$deployment.json
[ -z "$out" ] || mkdir -p "$out"
# Runs in the background, so that a signal stops the script immediately.
"$bin/agatestair-load" run "$scenario" --seeds "$seeds" --load "$load_factor" --json "$json" \
    "${files[@]}" &
load_pid=$!
status=0
wait "$load_pid" || status=$?
load_pid=
[ -z "$out" ] || echo "results: $json"
exit "$status"
