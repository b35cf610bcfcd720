#!/usr/bin/env bash
# Builds what the scripts of review/ start. The stand-ins (clients, engines, operator) are Python files and need no build;
# they are only checked for syntax. The programs under test are those of the deploy file: target/bin/hatchfork.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/hatchfork ]; then
  cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release
  cmake --build target --target hatchfork -j8
fi
python3 - <<'PY'
import ast
import pathlib
for file in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(file.read_text(), str(file))
PY
