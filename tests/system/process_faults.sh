#!/usr/bin/env bash
# Real processes under failure: a gateway and the leader of a batch group are killed, another replica is frozen and
# continued, and one loses its data folder, while online requests and batch jobs run. Every accepted item must complete
# once with the right answer; every online request must be answered whole.
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

# Prints the number of the replica that leads a group, as replica 1 (or the one given) sees it.
leader_of() {  # GROUP ASKED-REPLICA
  curl -s --max-time 2 "http://127.0.0.1:720$2/v1/status" |
    python3 -c 'import json,sys
for group in json.load(sys.stdin)["groups"]:
    if group["group"] == int(sys.argv[1]): print(group.get("leader", "").replace("control-", ""))' "$1"
}

fleet_start_all
fleet_apply settings/local/configuration.json || fail "configuration"
fleet_wait_ready http://127.0.0.1:7301/readyz || fail "gateway 1"
fleet_wait_ready http://127.0.0.1:7302/readyz || fail "gateway 2"

build/bin/hatchfork-load batch --gateways "$gateways" --key demo-key --model timesheet --items 1500 --jobs 3 \
  >"$FLEET_LOGS/batch.json" 2>"$FLEET_LOGS/batch.log" &
batch=$!
build/bin/hatchfork-load online --gateways "$gateways" --key demo-key --model timesheet --requests 1500 \
  --concurrency 8 >"$FLEET_LOGS/online.json" 2>"$FLEET_LOGS/online.log" &
online=$!

sleep 1
leader=$(leader_of 1 1)
[ -n "$leader" ] || fail "no leader of group 1"
echo "kill -9: gateway 1 and control $leader, the leader of group 1"
kill -KILL "${FLEET_PIDS[gateway-1]}" "${FLEET_PIDS[control-$leader]}"
wait "${FLEET_PIDS[gateway-1]}" "${FLEET_PIDS[control-$leader]}" 2>/dev/null
unset "FLEET_PIDS[gateway-1]" "FLEET_PIDS[control-$leader]"
sleep 1
fleet_start_gateway 1
fleet_start_control "$leader"
fleet_wait_ready http://127.0.0.1:7301/readyz || fail "restart of gateway 1"

frozen=$((leader % 5 + 1))
echo "freeze: control $frozen for 3 s"
kill -STOP "${FLEET_PIDS[control-$frozen]}"
sleep 3
kill -CONT "${FLEET_PIDS[control-$frozen]}"

lost=$((frozen % 5 + 1))
echo "lost disk: control $lost"
kill -KILL "${FLEET_PIDS[control-$lost]}"
wait "${FLEET_PIDS[control-$lost]}" 2>/dev/null
unset "FLEET_PIDS[control-$lost]"
rm -rf "run-data/control-$lost"
fleet_start_control "$lost"

wait "$online" || fail "online requests: $(cat "$FLEET_LOGS/online.json")"
echo "online: $(cat "$FLEET_LOGS/online.json")"
wait "$batch" || fail "batch jobs: $(cat "$FLEET_LOGS/batch.json")"
echo "batch: $(cat "$FLEET_LOGS/batch.json")"
# The replica with the empty disk must not vote under its former name.
joined=$(curl -s "http://127.0.0.1:720$lost/v1/status" |
  python3 -c 'import json,sys; print(any(g["joined"] for g in json.load(sys.stdin)["groups"]))')
[ "$joined" = False ] || fail "the replica with the lost disk takes part under its former name"
fleet_stop_all || fail "planned stop"
echo "all answers whole, all items completed once"
