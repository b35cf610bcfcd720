#!/usr/bin/env bash
# Engines that send answers which are broken: see tests/soak/broken_answers.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in uploads statuses names folded; do
  python3 tests/soak/broken_answers.py --scenario "$scenario" --seed 1 || exit 1
done
