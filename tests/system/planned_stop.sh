#!/usr/bin/env bash
# Planned stops under load: a gateway, the leader of a batch group, and then everything is stopped while online requests
# and a batch job run. Every process must exit with 0 however often it is told to stop, and every answer must be right.
set -uo pipefail
cd "$(dirname "$0")/../.."
FLEET_LOGS=$(mktemp -d)
source tools/fleet.sh
trap 'fleet_finish $?' EXIT
rm -rf run-data
gateways=127.0.0.1:7301,127.0.0.1:7302

fail() {
  echo "FAILED: $1"
  tail -n 5 "$FLEET_LOGS"/*.log
  exit 1
}

# Sends SIGTERM over and over until the process has ended; fails unless it ends with 0.
stop_impatiently() {  # NAME
  local pid=${FLEET_PIDS[$1]} code=0
  unset "FLEET_PIDS[$1]"
  while kill -TERM "$pid" 2>/dev/null; do sleep 0.002; done
  wait "$pid" || code=$?
  [ "$code" -eq 0 ] || fail "$1 ended with $code"
}

leader_of() {  # GROUP
  curl -s --max-time 2 "http://127.0.0.1:7201/v1/status" |
    python3 -c 'import json,sys
for group in json.load(sys.stdin)["groups"]:
    if group["group"] == int(sys.argv[1]): print(group.get("leader", "").replace("control-", ""))' "$1"
}

fleet_start_all
fleet_apply settings/local/configuration.json || fail "configuration"
for port in 7301 7302; do fleet_wait_ready "http://127.0.0.1:$port/readyz" || fail "gateway at $port"; done
build/bin/hatchfork-load batch --gateways "$gateways" --key demo-key --model timesheet --items 600 \
  >"$FLEET_LOGS/batch.json" 2>"$FLEET_LOGS/batch.log" &
batch=$!
build/bin/hatchfork-load online --gateways "$gateways" --key demo-key --model timesheet --stream --requests 600 \
  --concurrency 8 >"$FLEET_LOGS/online.json" 2>"$FLEET_LOGS/online.log" &
online=$!

sleep 1
stop_impatiently gateway-1
fleet_start_gateway 1
fleet_wait_ready http://127.0.0.1:7301/readyz || fail "restart of gateway 1"
leader=$(leader_of 1)
[ -n "$leader" ] || fail "no leader of group 1"
stop_impatiently "control-$leader"
fleet_start_control "$leader"
wait "$online" || fail "online requests: $(cat "$FLEET_LOGS/online.json")"
wait "$batch" || fail "batch job: $(cat "$FLEET_LOGS/batch.json")"
for name in gateway-1 gateway-2 control-1 control-2 control-3 control-4 control-5 emulator; do
  stop_impatiently "$name"
done
echo "all planned stops as expected"
