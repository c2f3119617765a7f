#!/usr/bin/env bash
# Checks the format of all C sources, or rewrites them with --fix. Generated
# code keeps the format of its generator.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h' |
  grep -vE 'hk_(rpc|job)_xdr')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run -Werror "${files[@]}"
  echo "format: ${#files[@]} files are formatted"
fi
