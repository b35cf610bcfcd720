#!/usr/bin/env bash
# Sets up and runs a whole fleet on this machine: 5 control replicas, 2 gateways, 6 emulated engines in 3 zones, on
# loopback. Applies a configuration, sends online requests and a batch job, checks all results.
#   ./run.sh          keeps the fleet running until Ctrl-C
#   ./run.sh --once   stops the fleet by planned stop and exits
# Last line of the demonstration: "demo: ok online=N batch=N", or "demo: failed ..." and a non-zero exit.
set -euo pipefail
cd "$(dirname "$0")"

once=false
case "${1:-}" in
  "") ;;
  --once) once=true ;;
  *) echo "usage: ./run.sh [--once]" >&2; exit 2 ;;
esac

tools/install_packages.sh
tools/build.sh hatchfork hatchfork-emulator hatchfork-load

rm -rf run-data
mkdir -p run-data/logs
FLEET_LOGS=run-data/logs
source tools/fleet.sh
trap fleet_kill_all EXIT

demo_failed() {
  echo "demo: failed $1 (logs: $FLEET_LOGS)"
  exit 1
}

online_requests=200
batch_items=500
gateways=127.0.0.1:7301,127.0.0.1:7302

fleet_start_all
fleet_apply settings/local/configuration.json || demo_failed "to apply the configuration"
for port in 7301 7302; do fleet_wait_ready "http://127.0.0.1:$port/readyz" || demo_failed "to start a gateway"; done
build/bin/hatchfork-load batch --gateways "$gateways" --key demo-key --model timesheet --items "$batch_items" \
  >"$FLEET_LOGS/batch.json" 2>"$FLEET_LOGS/batch.log" &
batch_pid=$!
build/bin/hatchfork-load online --gateways "$gateways" --key demo-key --model timesheet --stream \
  --requests "$online_requests" --concurrency 8 >"$FLEET_LOGS/online.json" 2>"$FLEET_LOGS/online.log" ||
  demo_failed "in the online requests"
wait "$batch_pid" || demo_failed "in the batch job"

if $once; then
  fleet_stop_all || demo_failed "in the planned stop"
  echo "demo: ok online=$online_requests batch=$batch_items"
  exit 0
fi
echo "demo: ok online=$online_requests batch=$batch_items"
echo "callers:   http://127.0.0.1:7301 and http://127.0.0.1:7302 (API key: demo-key, model: timesheet)"
echo "operators: http://127.0.0.1:7201 to http://127.0.0.1:7205"
echo "engines:   http://127.0.0.1:7401 to http://127.0.0.1:7406"
echo "logs:      $FLEET_LOGS; Ctrl-C stops the fleet"
stop=false
trap 'stop=true' INT TERM
until $stop; do sleep 0.5; done
fleet_stop_all || demo_failed "in the planned stop"
