#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2,
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
read -ra flags <<< "$(pkg-config --cflags --libs glib-2.0 gio-2.0 gio-unix-2.0 \
  libsoup-3.0 json-c libtirpc log4c)"
for source in review/{6,7,8,9,10}/case.c; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Iinclude -o "$out/case-$name" \
    "$source" review/cluster-2.c review/store-2.c \
    target/libhyssopkeel_platform.a target/libhyssopkeel_coord.a \
    target/libhyssopkeel_runner.a target/libhyssopkeel.a "${flags[@]}" -lm
done
