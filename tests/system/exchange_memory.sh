#!/usr/bin/env bash
# The exchanges with engines, cancelled at every stage, under a memory checker: a cancelled read must not use what was freed.
set -euo pipefail
cd "$(dirname "$0")/../.."
valgrind --quiet --error-exitcode=9 --leak-check=no build/bin/hatchfork-tests "[exchange]"
