#!/usr/bin/env bash
# Checks all states of the model for both properties, and that each broken
# variant violates one_place.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/claim.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"

# Prints the numbers of errors and of states found for one property; "depth"
# instead of the errors if the search depth was too small.
check() {
  local variant=$1 property=$2
  spin $variant -a "$model" > /dev/null
  gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
  timeout 120 ./pan -m20000 -N "$property" > out 2> /dev/null || true
  awk '/errors:/ {for (i = 1; i <= NF; i++) if ($i == "errors:") e = $(i+1)}
    /states, stored/ {s = $1} /max search depth too small/ {e = "depth"}
    END {print e, s}' out
}

for property in one_place one_result; do
  read -r errors states < <(check "" $property)
  echo "model $property: errors=$errors states=$states"
  [ "$errors" = 0 ]
done
for variant in NO_COMPARE NO_LEASE NO_EXPIRY; do
  read -r errors states < <(check "-D$variant" one_place)
  echo "broken $variant: errors=$errors states=$states"
  [ "$errors" != 0 ]
done
