#!/usr/bin/env bash
# Runs a range of seeds by hand, PARALLEL at a time (4 by default):
#   tests/soak/run.sh BUILD FIRST-SEED SEEDS SECONDS [PARALLEL]
set -uo pipefail
build=$(cd "${1:?build folder}" && pwd)
export HK_BUILD_DIR=$build
seq "${2:?first seed}" $((${2} + ${3:?number of seeds} - 1)) |
  xargs -P "${5:-4}" -I{} sh -c \
    "\"$build/soak\" --seed {} --seconds ${4:?seconds} 2>&1 | grep -E 'VIOLATION|seed='"
