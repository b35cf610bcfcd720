#!/usr/bin/env bash
# The whole path of a fleet that forms itself, in the users' platform's dialect: real programs, stand-ins for engines,
# callers and the operator, on loopback.
set -uo pipefail
cd "$(dirname "$0")/../.."
FLEET_LOGS=$(mktemp -d)
source tools/self_forming_fleet.sh
trap 'fleet_finish $?' EXIT

fail() {
  echo "FAILED: $1"
  grep -hE "level=(error|warning)" "$FLEET_LOGS"/*.log | tail -n 15
  exit 1
}

fleet_write_settings true
fleet_start_all
python3 tests/platform/whole_path.py "$FLEET_CONTROLS" "$FLEET_GATEWAYS" || fail "the whole path"
if grep -l "key-crew\|key-office" "$FLEET_LOGS"/*.log; then fail "an API key stands in a log"; fi
for name in gateway-1 store-1 control-1; do
  fleet_stop "$name" || fail "the planned stop of $name ended with $? $(tail -n 3 "$FLEET_LOGS/$name.log")"
done
