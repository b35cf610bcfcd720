#!/usr/bin/env bash
# Batch items at engines whose answers have no length, and which end now and then: tests/soak/unframed_items.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/unframed_items.py --scenario all-ended --seed 1 --seconds 8
