#!/usr/bin/env bash
# Builds everything, starts the stand-ins and three daemons on loopback, applies
# the example objects and sends work through. Ends all that it started by id.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --workspace --bins --locked
bin=target/debug
logs=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    wait
}
trap stop_all EXIT

start() {
    local log=$1
    shift
    "$@" >"$logs/$log.out" 2>"$logs/$log.log" &
    pids+=("$!")
}

wait_for() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "gave up waiting for: $*; see $logs" >&2
    return 1
}

platform=127.0.0.1:7400
start platform "$bin/standin-platform" --listen "$platform"
hosts=""
for index in 1 2 3; do
    zone=nordeste-$(echo abc | cut -c "$index")
    start "runner-$index" "$bin/standin-target" --listen "127.0.0.1:741$index"
    hosts+="${hosts:+,}{\"name\":\"runner-$index\",\"kind\":\"runner\",\"pool\":\"sales\",\"service\":\"settlement\",\"zone\":\"$zone\",\"rack\":\"rack-$index\",\"address\":\"127.0.0.1:741$index\",\"state\":\"live\",\"slots\":8}"
done
wait_for curl --silent --fail --request PUT --data "[$hosts]" "http://$platform/hosts"

for index in 1 2 3; do
    zone=nordeste-$(echo abc | cut -c "$index")
    start "daemon-$index" "$bin/auburnsaddled" --name "daemon-$index" --region nordeste \
        --zone "$zone" --listen "127.0.0.1:742$index" --peer-listen "127.0.0.1:743$index" \
        --store "$platform" --hosts "$platform"
done
wait_for "$bin/auburnsaddle" --daemon 127.0.0.1:7421 status

"$bin/auburnsaddle" --daemon 127.0.0.1:7421 apply examples/jegue-vale
for index in 1 2 3; do
    redeem=(curl --silent --fail --data "token $index" "http://127.0.0.1:742$index/v1/services/settlement/redeem")
    wait_for "${redeem[@]}"
    echo "daemon-$index: $("${redeem[@]}")"
done
"$bin/auburnsaddle" --daemon 127.0.0.1:7423 status
