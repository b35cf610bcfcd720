#!/usr/bin/env bash
# Bodies at ports whose requests need none are bounded: see tests/soak/endless_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/endless_requests.py --scenario bodies
