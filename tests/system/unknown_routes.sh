#!/usr/bin/env bash
# Accepted items survive a leader that knows no configuration: see tests/soak/unknown_routes.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
for scenario in half removed returns; do
  python3 tests/soak/unknown_routes.py --scenario "$scenario" --seed 1 || status=1
done
exit $status
