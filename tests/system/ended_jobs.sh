#!/usr/bin/env bash
# No item runs long after the end of its job was acknowledged: see tests/soak/ended_jobs.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
python3 tests/soak/ended_jobs.py --scenario early --seed 1 --seconds 12 || status=1
python3 tests/soak/ended_jobs.py --scenario founding --seed 1 --seconds 6 || status=1
python3 tests/soak/ended_jobs.py --scenario gateways --seed 1 --seconds 25 || status=1
python3 tests/soak/ended_jobs.py --scenario stores --seed 1 --seconds 40 || status=1
python3 tests/soak/ended_jobs.py --scenario tenants --seed 1 || status=1
exit $status
