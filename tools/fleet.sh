# Starts and stops the local fleet. Sourced by run.sh and by the tests of real processes; not a program of the product.
# Needs: FLEET_LOGS, a folder for the logs. Sets: FLEET_PIDS, the process identifier of each process by name.

source "$(dirname "${BASH_SOURCE[0]}")/fleet_finish.sh"

declare -A FLEET_PIDS=()
FLEET_BIN=build/bin
FLEET_SETTINGS=settings/local

fleet_start() {  # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$FLEET_LOGS/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
}

fleet_start_control() { fleet_start "control-$1" "$FLEET_BIN/hatchfork" control --settings "$FLEET_SETTINGS/control-$1.toml"; }
fleet_start_gateway() { fleet_start "gateway-$1" "$FLEET_BIN/hatchfork" gateway --settings "$FLEET_SETTINGS/gateway-$1.toml"; }
fleet_start_emulator() { fleet_start emulator "$FLEET_BIN/hatchfork-emulator" --settings "$FLEET_SETTINGS/emulator.toml"; }

fleet_start_all() {
  local number
  fleet_start_emulator
  for number in 1 2 3 4 5; do fleet_start_control "$number"; done
  for number in 1 2; do fleet_start_gateway "$number"; done
}

# Waits until a URL answers 200; fails after about 30 s.
fleet_wait_ready() {
  local url=$1 try
  for try in $(seq 1 300); do
    if curl -sf -o /dev/null --max-time 1 "$url"; then return 0; fi
    sleep 0.1
  done
  echo "not ready in time: $url" >&2
  return 1
}

# Applies a configuration change and waits until it is in force everywhere.
fleet_apply() {  # FILE [CTL OPTIONS...]
  local file=$1
  shift
  "$FLEET_BIN/hatchfork" ctl config apply --file "$file" --wait "$@" >/dev/null
}

# Planned stop of one process: SIGTERM, then wait. Returns its exit code.
fleet_stop() {
  local pid=${FLEET_PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  unset "FLEET_PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

fleet_stop_reporting() {
  local code=0
  fleet_stop "$1" || code=$?
  [ "$code" -eq 0 ] || echo "$1: exit code $code at its planned stop" >&2
  return "$code"
}

fleet_stop_all() {
  local name code=0
  for name in gateway-1 gateway-2; do fleet_stop_reporting "$name" || code=1; done
  for name in control-1 control-2 control-3 control-4 control-5 emulator; do
    local pid=${FLEET_PIDS[$name]:-}
    [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null
  done
  for name in control-1 control-2 control-3 control-4 control-5 emulator; do
    fleet_stop_reporting "$name" || code=1
  done
  return "$code"
}

# Last resort at the end of a script: ends what is still running, by process identifier.
fleet_kill_all() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do kill -KILL "${FLEET_PIDS[$name]}" 2>/dev/null || true; done
}
