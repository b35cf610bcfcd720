#!/usr/bin/env bash
# Plays a fixed set of seeds of every scenario on virtual time. Last line: "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
build/bin/hatchfork-sim --scenario all --seeds 1-10 --jobs 4
