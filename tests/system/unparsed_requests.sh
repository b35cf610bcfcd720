#!/usr/bin/env bash
# What a request holds before it is parsed is bounded: see tests/soak/endless_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
for scenario in trailers extensions heads; do
  python3 tests/soak/endless_requests.py --scenario "$scenario" || status=1
done
exit $status
