#!/bin/bash
# Runs a complete deployment on this machine, with the addresses 127.0.0.2 to 127.0.0.8 as machines.
# Ctrl-C stops the script and all processes that it started.
set -eu
bin=${1:-target/release/willowslip}
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$dir"' EXIT
trap 'exit 0' INT TERM

start() { # arguments: role, last octet of the machine's address, lines for [listen]
    local ip=127.0.0.$2 name=$1-$2 node=$1-$2
    # Both processes of a front machine have the front's node name.
    if [ "$1" = agent ]; then node=front-$2; fi
    mkdir -p "$dir/$name"
    cat > "$dir/$name.toml" <<SETTINGS
node = "$node"
ip = "$ip"
zone = "zone-$(($2 % 3))"
portRange = [7780, 7795]
seeds = ["127.0.0.2:8064", "127.0.0.3:8064", "127.0.0.4:8064"]
initialStart = true
dataDir = "$dir/$name"
[listen]
$3
[limits]
memoryMb = 256
diskMb = 256
[tolerance]
machines = 1
[constraints]
quietMs = 4000
ackMs = 5000
settleS = 4.2
drainMs = 3000
graceS = 6
convergeMs = 3000
revertSlackMs = 250
exposure = 0.1
rollbackMs = 5000
statusS = 120
notifyS = 5
peakWindowS = 5
SETTINGS
    "$bin" check --settings "$dir/$name.toml" > /dev/null
    WILLOWSLIP_SETTINGS="$dir/$name.toml" "$bin" "$1" 2> "$dir/$name.log" &
    pids+=($!)
}

for m in 2 3 4; do start control $m "control = \"127.0.0.$m:8064\""; done
for m in 5 6 7; do start store $m ""; done
start front 8 'front = "127.0.0.8:8069"
ready = "127.0.0.8:8063"'
start agent 8 ""

echo "control: 127.0.0.2:8064,127.0.0.3:8064,127.0.0.4:8064"
echo "front:   127.0.0.8:8069"
echo "logs:    $dir/*.log"
wait
