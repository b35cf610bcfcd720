# Starts and stops a fleet that forms itself, on loopback addresses 127.0.1.x. Sourced by tests; not a program of the
# product. Needs: FLEET_LOGS, a folder for settings, data and logs. Sets: FLEET_PIDS, by name.

source "$(dirname "${BASH_SOURCE[0]}")/fleet_finish.sh"

declare -A FLEET_PIDS=()
FLEET_CONTROLS=127.0.1.1:7000,127.0.1.2:7000,127.0.1.3:7000
FLEET_GATEWAYS=127.0.1.21:7001,127.0.1.22:7001

fleet_settings() {  # NAME ADDRESS-NUMBER FIRST_START LINE...
  local name=$1 number=$2 first=$3
  shift 3
  printf '%s\n' "name = \"$name\"" "zone = \"z$((number % 3))\"" "address = \"127.0.1.$number\"" \
    'control_port = 7660' 'store_port = 7661' 'seeds = ["127.0.1.1:7000", "127.0.1.2:7000", "127.0.1.3:7000"]' \
    'engine_beat_ms = 400' 'grace_s = 4' "$@" >"$FLEET_LOGS/$name.toml"
  case $name in
    gateway-*) ;;
    *) printf '%s\n' "data_folder = \"$FLEET_LOGS/data/$name\"" "first_start = $first" >>"$FLEET_LOGS/$name.toml" ;;
  esac
}

fleet_write_settings() {  # FIRST_START
  local number
  for number in 1 2 3 4 5; do fleet_settings "control-$number" "$number" "$1" "operators = \"127.0.1.$number:7000\""; done
  for number in 1 2 3 4; do fleet_settings "store-$number" $((10 + number)) "$1"; done
  for number in 1 2; do
    fleet_settings "gateway-$number" $((20 + number)) "$1" "callers = \"127.0.1.$((20 + number)):7001\"" \
      "readiness = \"127.0.1.$((20 + number)):7002\"" "metrics = \"$((9460 + number))/metrics\""
  done
}

fleet_start() {  # NAME
  build/bin/hatchfork "${1%-*}" --settings "$FLEET_LOGS/$1.toml" >>"$FLEET_LOGS/$1.log" 2>&1 &
  FLEET_PIDS[$1]=$!
}

fleet_kill() {  # NAME
  kill -KILL "${FLEET_PIDS[$1]}" 2>/dev/null
  wait "${FLEET_PIDS[$1]}" 2>/dev/null
  unset "FLEET_PIDS[$1]"
}

# Planned stop of one process; returns its exit code.
fleet_stop() {  # NAME
  local pid=${FLEET_PIDS[$1]}
  unset "FLEET_PIDS[$1]"
  kill -TERM "$pid"
  wait "$pid"
}

fleet_kill_all() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do kill -KILL "${FLEET_PIDS[$name]}" 2>/dev/null; done
}

fleet_start_all() {
  local name
  for name in control-{5,3,1,2,4} store-{1,2,3} gateway-{1,2}; do fleet_start "$name"; done
}
