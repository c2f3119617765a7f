#!/usr/bin/env bash
# Builds the scripts' programs of the third review into target/review-3, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
read -ra flags <<< "$(pkg-config --cflags glib-2.0 gio-2.0 gio-unix-2.0 \
  libsoup-3.0 json-c libtirpc)"
read -ra libs <<< "$(pkg-config --libs glib-2.0 gio-2.0 gio-unix-2.0 \
  libsoup-3.0 json-c libtirpc)"
for case in review/1[1-5]/case.c; do
  name=$(basename "$(dirname "$case")")
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Iinclude "${flags[@]}" \
    -o "$out/$name" "$case" review/cluster-3.c review/worker-3.c \
    tests/soak/store.c tests/support/jobs.c \
    target/libhyssopkeel_platform.a target/libhyssopkeel_coord.a \
    target/libhyssopkeel_runner.a target/libhyssopkeel.a \
    "${libs[@]}" -llog4c -lm
done
