#!/usr/bin/env bash
# Headers of the shortest fields are bounded: see tests/soak/endless_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
for scenario in fields; do
  python3 tests/soak/endless_requests.py --scenario "$scenario" || status=1
done
exit $status
