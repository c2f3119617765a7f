#!/usr/bin/env bash
# Runs a range of seeds by hand, PARALLEL at a time:
#   tests/soak/run.sh BUILD FIRST-SEED SEEDS SECONDS PARALLEL [OPTION...]
# Options are those of the soak, such as --late, --deadly or --size large.
set -uo pipefail
build=$(cd "${1:?build folder}" && pwd)
export HK_BUILD_DIR=$build
seq "${2:?first seed}" $((${2} + ${3:?number of seeds} - 1)) |
  xargs -P "${5:?number at a time}" -I{} sh -c \
    "\"$build/soak\" --seed {} --seconds ${4:?seconds} ${*:6} 2>&1 |
     grep -E 'VIOLATION|ERROR|seed='"
