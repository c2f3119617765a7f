#!/usr/bin/env bash
# Regenerates the committed XDR code from the .x files; needs rpcgen.
set -euo pipefail
cd "$(dirname "$0")"
for unit in hk:hk_rpc hk_job:hk_job; do
  source=${unit%%:*}
  name=${unit##*:}
  header=../../include/hyssopkeel/${name}_xdr.h
  rm -f "$header" "${name}_xdr.c"
  rpcgen -h -o "$header" "$source.x"
  rpcgen -c -o "${name}_xdr.c" "$source.x"
  sed -i "s|#include \"$source.h\"|#include \"hyssopkeel/${name}_xdr.h\"|" \
    "${name}_xdr.c"
done
