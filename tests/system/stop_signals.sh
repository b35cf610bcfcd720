#!/usr/bin/env bash
# A process that is told to stop over and over until it has gone still ends by planned stop, with exit code 0.
set -uo pipefail
cd "$(dirname "$0")/../.."
FLEET_LOGS=$(mktemp -d)
source tools/fleet.sh
trap 'fleet_finish $?' EXIT
rm -rf run-data
failures=0

stop_over_and_over() {  # NAME
  local pid=${FLEET_PIDS[$1]} code=0 count
  # The shell keeps the exit code of a process that it has seen end; its folder in /proc is gone then.
  for count in $(seq 1 200000); do
    kill -TERM "$pid" 2>/dev/null || break
    [ -d "/proc/$pid" ] || break
  done
  wait "$pid" || code=$?
  unset "FLEET_PIDS[$1]"
  if [ "$code" -ne 0 ]; then
    echo "$1 ended with exit code $code"
    failures=$((failures + 1))
  fi
}

for round in 1 2 3; do
  fleet_start_emulator
  fleet_start_control 1
  fleet_start_gateway 1
  fleet_wait_ready http://127.0.0.1:7201/healthz || exit 1
  fleet_wait_ready http://127.0.0.1:7301/healthz || exit 1
  fleet_wait_ready http://127.0.0.1:7401/healthz || exit 1
  for name in gateway-1 control-1 emulator; do stop_over_and_over "$name"; done
done
[ "$failures" -eq 0 ] && echo "all processes ended by planned stop"
exit "$failures"
