#!/usr/bin/env bash
# Starts a small deployment of real processes on loopback addresses, sends an open-loop load, drains one
# entry VM in the middle of it, and prints the report of the load, what the stand-ins ran twice and how the
# drained process ended. Each process is ended by its id.
#
# Usage: scripts/local-deployment.sh BINARY [REQUESTS_PER_SECOND] [SECONDS]
set -euo pipefail

binary=${1:?"the path of the tarragonfront binary is needed"}
rate=${2:-30}
seconds=${3:-30}
work=$(mktemp -d)
pids=()

end_processes() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap end_processes EXIT

run() {
  "$binary" "$@" >>"$work/processes.log" 2>&1 &
  pids+=($!)
}

data_centres=(ondangwa oshakati)
targets=()
for dc in 0 1; do
  entries=()
  for number in 1 2 3 4; do
    port=$((9000 + dc * 100 + number))
    run standin engine --listen="127.0.0.1:$port" --model=flood-writer --generation=$((1 + number % 2))
    entries+=("{\"target\": \"runner-$dc-$number\", \"service\": \"model-pool\", \"address\": \"127.0.0.1:$port\"}")
  done
  port=$((9050 + dc * 100))
  run standin service --listen="127.0.0.1:$port"
  entries+=("{\"target\": \"dispatch-$dc\", \"service\": \"dispatch-app\", \"address\": \"127.0.0.1:$port\"}")
  joined=$(IFS=,; echo "${entries[*]}")
  targets+=("{\"data_centre\": \"${data_centres[$dc]}\", \"targets\": [$joined]}")
done
(IFS=,; echo "[${targets[*]}]") >"$work/targets.json"

vms=()
for vm in 0 1 2 3; do
  dc=${data_centres[$((vm / 2))]}
  base=$((9400 + vm * 10))
  vms+=("{\"vm\": \"entry-$vm\", \"data_centre\": \"$dc\", \"caller_address\": \"127.0.0.1:$base\", \"peer_address\": \"127.0.0.1:$((base + 1))\", \"state\": \"live\", \"generation\": 1}")
  cat >"$work/entry-$vm.jsonc" <<SETTINGS
{
  "vm": "entry-$vm", "data_centre": "$dc",
  "caller_address": "127.0.0.1:$base", "peer_address": "127.0.0.1:$((base + 1))",
  "admin_address": "127.0.0.1:$((base + 2))",
  "peer_keys": ["a-key-for-local-trials"],
  "configuration_service": "127.0.0.1:9300", "vm_list": "127.0.0.1:9301",
}
SETTINGS
done
(IFS=,; echo "[${vms[*]}]") >"$work/vms.json"
cat >"$work/rules" <<'RULES'
service model-pool kind=model idempotent=yes # asked by: trial
service dispatch-app kind=plain idempotent=no # asked by: trial
model flood-writer service=model-pool # asked by: trial
RULES

run standin platform --configuration-service=127.0.0.1:9300 --vm-list=127.0.0.1:9301 \
  --rules="$work/rules" --targets="$work/targets.json" --vms="$work/vms.json"
sleep 1
addresses=()
for vm in 0 1 2 3; do
  run serve "$work/entry-$vm.jsonc"
  addresses+=(--address="127.0.0.1:$((9400 + vm * 10))")
done
drained=${pids[-1]}

# A new process is ready after it has asked the platform and a peer and its slots have settled.
for _ in $(seq 1 60); do
  ready=0
  for vm in 0 1 2 3; do
    "$binary" dump --address="127.0.0.1:$((9402 + vm * 10))" 2>/dev/null | grep -q '"ready": true' && ready=$((ready + 1))
  done
  [ "$ready" -eq 4 ] && break
  sleep 0.5
done
echo "ready entry VMs: $ready of 4"

"$binary" lab load "${addresses[@]}" --workload=oshana --rate="$rate" --seconds="$seconds" --repeats=2 &
load=$!
sleep $((seconds / 2))
kill -TERM "$drained"
wait "$load" || echo "the load reported a failure"
if wait "$drained"; then
  echo "the drained process ended without interrupting a request"
else
  echo "the drained process reported interrupted requests"
fi
for vm in 0 1 2; do
  "$binary" dump --address="127.0.0.1:$((9402 + vm * 10))" | grep -A3 '"violations"' | head -4
done
grep -c ' ERROR ' "$work/processes.log" | sed 's/^/errors logged: /' || true
grep ' ERROR ' "$work/processes.log" | head -5 || true
for pid in "${pids[@]:0:13}"; do
  [ -r "/proc/$pid/status" ] && awk -v pid="$pid" '/^VmHWM/ {printf "process %s: %d MB at most\n", pid, $2 / 1024}' "/proc/$pid/status"
done | sort -k3 -n | tail -3
