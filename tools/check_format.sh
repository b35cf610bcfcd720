#!/usr/bin/env bash
# Fails when a source is not formatted by .clang-format, and names it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs -P 8 -n 20 clang-format --dry-run --Werror
