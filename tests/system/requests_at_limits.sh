#!/usr/bin/env bash
# Requests at the limits of the configuration are served: see tests/soak/endless_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/endless_requests.py --scenario allowed
