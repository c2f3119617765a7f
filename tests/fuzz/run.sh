#!/usr/bin/env bash
# Builds the fuzz targets with clang and the sanitizers, and runs each on RUNS
# inputs (20000 by default) from a fixed seed: tests/fuzz/run.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-20000}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
flags="$(pkg-config --cflags glib-2.0 gio-2.0 json-c libtirpc) -Iinclude"
libs="$(pkg-config --libs glib-2.0 gio-2.0 json-c libtirpc)"
sources="src/util/clock.c src/util/error.c src/util/id.c src/util/json.c
  src/util/poller.c src/util/settings.c src/util/timer.c src/rpc/rpc_conn.c
  src/rpc/hk_rpc_xdr.c src/store/etcd_codec.c src/tables/tables.c
  src/jobs/job.c"
mkdir "$dir/corpus"
cp examples/*/*.json tests/scenario/scripts/tables.json "$dir/corpus" \
  2> /dev/null || true
for target in text store rpc; do
  # shellcheck disable=SC2086
  clang -g -O1 -w -fsanitize=fuzzer,address,undefined $flags \
    tests/fuzz/fuzz_$target.c $sources -o "$dir/$target" $libs
  ASAN_OPTIONS=detect_leaks=1 "$dir/$target" -seed=1 -runs="$runs" \
    -max_len=4096 "$dir/corpus" 2> "$dir/log" || {
    tail -40 "$dir/log"
    exit 1
  }
  echo "fuzz $target: $runs inputs, no failure"
done
