#!/usr/bin/env bash
# A rate limit while no store answers for seconds: see tests/soak/stalled_limit_owner.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/stalled_limit_owner.py --seed 1 --stalls 2
