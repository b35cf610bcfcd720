#!/usr/bin/env bash
# Large jobs at stores of little memory: snapshots, kills in turn, a lost disk.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/large_jobs.py
