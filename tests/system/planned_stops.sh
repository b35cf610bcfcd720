#!/usr/bin/env bash
# Planned stops of gateways while callers use their connections at each tenth of a second: tests/soak/planned_stops.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/planned_stops.py --scenario offsets --seed 1 --seconds 18 || exit 1
python3 tests/soak/planned_stops.py --scenario unframed --seed 1 --seconds 10 || exit 1
python3 tests/soak/planned_stops.py --scenario releases-closing --seed 31 --seconds 20 || exit 1
python3 tests/soak/planned_stops.py --scenario everything --seed 2 --seconds 18
