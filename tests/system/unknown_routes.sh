#!/usr/bin/env bash
# Accepted items survive a leader that knows no configuration: see tests/soak/unknown_routes.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
python3 tests/soak/unknown_routes.py --scenario half --seed 2 || status=1
for scenario in removed returns; do
  python3 tests/soak/unknown_routes.py --scenario "$scenario" --seed 1 || status=1
done
exit $status
