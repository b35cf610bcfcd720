#!/usr/bin/env bash
# Most new connections go to one gateway, then to another one: see tests/soak/uneven_connections.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in limit kept; do
  python3 tests/soak/uneven_connections.py --scenario "$scenario" --seed 1 || exit 1
done
