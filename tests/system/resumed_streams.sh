#!/usr/bin/env bash
# Streams that break and go on, with callers that go on by themselves: what happened stands in tests/soak/resumed_streams.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in head anywhere kills unframed closed no-length ended; do
  python3 tests/soak/resumed_streams.py --scenario "$scenario" --seed 1 || exit 1
done
