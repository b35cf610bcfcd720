#!/usr/bin/env bash
# Requests that end each engine that begins to run them: what happened stands in tests/soak/ending_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in online kills batch gateways; do
  python3 tests/soak/ending_requests.py --scenario "$scenario" --seed 1 || exit 1
done
