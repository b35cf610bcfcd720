#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/6 start. Their stand-ins (clients, engines, operator, platform) are Python
# files of review/lib-2 and need no build; they are checked for syntax. The programs under test are those of the deploy
# file: target/bin/hatchfork, built here only where the build of the deploy file has not run.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/hatchfork ]; then
  cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release
  cmake --build target --target hatchfork -j8
fi
python3 - <<'PY'
import ast
import pathlib
for folder in ("lib-2", "4", "5", "6"):
    for file in sorted(pathlib.Path("review", folder).glob("*.py")):
        ast.parse(file.read_text(), str(file))
PY
