#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/.build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
flags=($(pkg-config --cflags --libs libsoup-3.0 json-c gio-unix-2.0))
for case in [1-9]/case.c; do
  [ -e "$case" ] || continue
  gcc -std=gnu11 -O1 -g -Wall -Wextra -o ".build/case-${case%/case.c}" "$case" \
    standin.c "${flags[@]}"
done
