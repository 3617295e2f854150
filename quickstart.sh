#!/usr/bin/env bash
# Builds the workspace and runs the two example deployments on loopback, one after
# the other. Each consists of three daemons and of stand-ins for the platform, the
# runners and the workers. The script publishes the objects of the example, sends a
# call, runs a batch job and a gang job to completion, cancels a long-running task
# and prints the results. On exit it stops the processes that it started, by id.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --workspace --bins --locked
bin=target/debug
# The first port is derived from the process id, because concurrent runs on the
# same ports would share a store. QUICKSTART_PORT overrides it.
base=${QUICKSTART_PORT:-$((10000 + $$ % 200 * 100))}
logs=$(mktemp -d)
pids=()

# Stops the processes in reverse order of their starts, so that the daemons drain
# while the store is still running.
stop_all() {
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        kill -TERM "${pids[index]}" 2>/dev/null || true
        wait "${pids[index]}" 2>/dev/null || true
    done
    pids=()
}
trap stop_all EXIT

start() {
    local log=$1
    shift
    "$@" >"$logs/$log.out" 2>"$logs/$log.log" &
    pids+=("$!")
}

# Fails if any process has exited, for example because its port was in use.
check_running() {
    local pid
    for pid in "${pids[@]}"; do
        if ! kill -0 "$pid" 2>/dev/null; then
            echo "a process has ended; see $logs, or set QUICKSTART_PORT" >&2
            return 1
        fi
    done
}

# Retries a command every 0.1 s until it succeeds, at most 200 times.
wait_for() {
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "gave up waiting for: $*; see $logs" >&2
    return 1
}

# Appends an entry to the list of hosts. Arguments: name, kind, pool, service (as
# JSON), zone, rack, port, capacity (as JSON).
hosts=""
add_host() {
    hosts+="${hosts:+,}{\"name\":\"$1\",\"kind\":\"$2\",\"pool\":\"$3\",\"service\":$4,\"zone\":\"$5\",\"rack\":\"$6\",\"address\":\"127.0.0.1:$7\",\"state\":\"live\",\"capacity\":$8,\"slots\":8}"
}

# Starts a worker and adds it to the list of hosts. Arguments: pool, number, zone,
# port, CPU in thousandths of a core, memory in MiB, accelerators. Tasks run 3,000
# times faster than declared.
start_worker() {
    start "$1-worker-$2" "$bin/standin-target" --role worker --listen "127.0.0.1:$4" \
        --cpu-milli "$5" --memory-mib "$6" --accelerators "$7" --speed 3000
    add_host "$1-worker-$2" worker "$1" null "$3" "$1-rack-$2" "$4" \
        "{\"cpu_milli\":$5,\"memory_mib\":$6,\"accelerators\":$7}"
}

tool() {
    "$bin/auburnsaddle" --daemon "127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22)),127.0.0.1:$((base + 23))" "$@"
}

# Submits an object, prints the number of accepted tasks and stores their ids in
# `tasks`.
submit() {
    local answer
    answer=$(tool submit "$@")
    echo "submit $*: accepted $(grep -oE '[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}' <<<"$answer" | wc -l) task(s)"
    mapfile -t tasks < <(grep -oE '[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}' <<<"$answer")
}

watch_all() {
    local id
    for id in "${tasks[@]}"; do
        echo "  $(tool watch "$id" | tail -n 1)"
    done
}

# Runs one deployment. Arguments: directory, region, general pool, service,
# accelerator pool; CPU and memory of the general workers, then of the accelerator
# workers; batch object, gang object, gang size, object of the long-running task.
deployment() {
    local directory=$1 region=$2 general=$3 service=$4 accelerated=$5
    local cpu=$6 memory=$7 accelerated_cpu=$8 accelerated_memory=$9
    local batch=${10} gang=${11} gang_size=${12} task=${13}
    echo "== $directory"
    hosts=""
    local platform=127.0.0.1:$base
    start platform "$bin/standin-platform" --listen "$platform"
    local letters=(a b c) index zone
    for index in 1 2 3; do
        zone=$region-${letters[index - 1]}
        start "runner-$index" "$bin/standin-target" --listen "127.0.0.1:$((base + 10 + index))"
        add_host "runner-$index" runner "$general" "\"$service\"" "$zone" "rack-$index" \
            "$((base + 10 + index))" '{}'
        start_worker "$general" "$index" "$zone" "$((base + 40 + index))" "$cpu" "$memory" 0
    done
    for index in $(seq "$gang_size"); do
        zone=$region-${letters[(index - 1) % 3]}
        start_worker "$accelerated" "$index" "$zone" "$((base + 50 + index))" "$accelerated_cpu" \
            "$accelerated_memory" 8
    done
    wait_for curl --silent --fail --request PUT --data "[$hosts]" "http://$platform/hosts"

    for index in 1 2 3; do
        zone=$region-${letters[index - 1]}
        start "daemon-$index" "$bin/auburnsaddled" --name "daemon-$index" --region "$region" \
            --zone "$zone" --listen "127.0.0.1:$((base + 20 + index))" \
            --peer-listen "127.0.0.1:$((base + 30 + index))" --store "$platform" --hosts "$platform" \
            --drain-deadline-ms 3000
    done
    wait_for "$bin/auburnsaddle" --daemon "127.0.0.1:$((base + 21))" status
    check_running
    tool apply "$directory"

    local call=(curl --silent --fail --header "Idempotency-Key: first-request" --data "request 1"
        "http://127.0.0.1:$((base + 22))/v1/services/$service/first")
    wait_for "${call[@]}"
    echo "call of $service: $("${call[@]}")"

    submit "$batch" --count 3
    watch_all
    submit "$gang" --count "$gang_size"
    watch_all
    submit "$task" --count 1 --label "shown=quickstart"
    wait_for tool_shows_running "${tasks[0]}"
    tool get "${tasks[0]}"
    tool cancel --label "shown=quickstart"
    watch_all
    tool status
    stop_all
}

tool_shows_running() {
    tool get "$1" | grep -qw running
}

deployment examples/jegue-vale nordeste sales settlement photo \
    32000 131072 64000 131072 nightly-accounts photo-training 2 payout-feed
deployment examples/rehandling-authority namibia general orders vision \
    16000 32768 32000 65536 stock-grading grain-training 2 kiln-watch
