# Sourced by the scripts that start a fleet; needs their fleet_kill_all and FLEET_LOGS.

# At the end of a test, with its exit code: ends what is still running; the logs of a failed test stay.
fleet_finish() {  # CODE
  fleet_kill_all
  if [ "$1" -eq 0 ]; then
    rm -rf "$FLEET_LOGS"
  else
    echo "logs=$FLEET_LOGS"
  fi
}
