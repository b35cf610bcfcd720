#!/usr/bin/env bash
# Callers that read a byte a second and engines that stop reading, at a gateway of 160 MB.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/slow_readers.py
