#!/usr/bin/env bash
# Requests that end each engine that begins to run them, with all processes killed at once in between, also before their
# third end: see tests/soak/ending_requests.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/ending_requests.py --scenario restarts --seed 1 || exit 1
python3 tests/soak/ending_requests.py --scenario early-restarts --seed 1 --seconds 24
