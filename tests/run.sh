#!/usr/bin/env bash
# Runs all tests of a build folder: tests/run.sh [BUILD]. Tests listed in
# KNOWN-RED.txt are printed and skipped. The summary of ctest comes last.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
red=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$red" ]; then
  echo "known failures, skipped:"
  grep -v '^#' KNOWN-RED.txt
fi
ctest --test-dir "$build" -j 4 --output-on-failure ${red:+-E "^($red)$"}
