#!/usr/bin/env bash
# Engines that answer with bytes that are no answer and have no end: see tests/soak/endless_answers.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in interim event; do
  python3 tests/soak/endless_answers.py --scenario "$scenario" --seed 1 || exit 1
done
