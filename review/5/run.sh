#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x "review/.build/case-$(basename "$here")" ] || exit 2
RECORD=$here/record.txt exec "review/.build/case-$(basename "$here")"
