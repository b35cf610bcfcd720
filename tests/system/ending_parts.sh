#!/usr/bin/env bash
# Requests with one part in their prompts crash each engine that begins to answer them: see tests/soak/ending_parts.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in second batch kills; do
  python3 tests/soak/ending_parts.py --scenario "$scenario" --seed 1 || exit 1
done
python3 tests/soak/ending_parts.py --scenario sparse --seed 1 --seconds 25
