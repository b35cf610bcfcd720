#!/usr/bin/env bash
# Engines that start again under their identifier, late beats, entries of another writer: see tests/soak/engine_lives.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
python3 tests/soak/engine_lives.py
