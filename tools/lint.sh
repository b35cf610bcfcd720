#!/usr/bin/env bash
# Runs the linter over all sources; any finding fails. Coroutines take parameters by value because they outlive the
# caller's temporaries, and end without a return statement, so these two checks do not apply.
set -euo pipefail
cd "$(dirname "$0")/.."
cppcheck --std=c++20 --language=c++ --enable=warning,performance,portability --inline-suppr --quiet -j 4 \
  --error-exitcode=1 -I src -I . --suppress=missingIncludeSystem --suppress=missingReturn --suppress=passedByValue \
  -Dco_return=return '-Dco_await=' '-DNLOHMANN_JSON_SERIALIZE_ENUM(...)=' '-DNLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(...)=' \
  '-DNLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(...)=' src bench
