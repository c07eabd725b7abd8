#!/usr/bin/env bash
# Installs the dependencies, builds the project and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build"
log="$build/ctest.log"
status=0
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}" | tee "$log" || status=$?
# Tests listed in KNOWN-RED.txt ("test: NAME" lines) may fail without failing the run.
failed=$(sed -n '/The following tests FAILED/,$p' "$log" | grep -oE '(unit|integration)/[a-z0-9_]+' | sort -u || true)
unexpected=0
known=0
for name in $failed; do
  if [ -f KNOWN-RED.txt ] && grep -qE "^test: $name( |$)" KNOWN-RED.txt; then
    echo "known red: $name"
    known=$((known + 1))
  else
    echo "failed: $name"
    unexpected=$((unexpected + 1))
  fi
done
total=$(ctest --test-dir "$build" -N | sed -n 's/^Total Tests: //p')
if [ "$status" -ne 0 ] && [ -z "$failed" ]; then unexpected=1; fi
echo "$((total - unexpected - known)) passed, $unexpected failed, $known skipped"
[ "$unexpected" -eq 0 ] && [ "$total" -gt 0 ]
