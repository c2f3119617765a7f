#!/usr/bin/env bash
# Checks all states of the models for their properties, and that each broken
# variant violates the first property of its model.
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"

# Prints the numbers of errors and of states found for one property; "depth"
# instead of the errors if the search depth was too small.
check() {
  local model=$1 variant=$2 property=$3
  spin $variant -a "$models/$model.pml" > /dev/null
  gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
  timeout 120 ./pan -m20000 -N "$property" > out 2> /dev/null || true
  awk '/errors:/ {for (i = 1; i <= NF; i++) if ($i == "errors:") e = $(i+1)}
    /states, stored/ {s = $1} /max search depth too small/ {e = "depth"}
    END {print e, s}' out
}

# check_model MODEL "PROPERTIES" "BROKEN VARIANTS"
check_model() {
  local model=$1 properties=$2 variants=$3 property variant
  for property in $properties; do
    read -r errors states < <(check "$model" "" "$property")
    echo "$model $property: errors=$errors states=$states"
    [ "$errors" = 0 ]
  done
  for variant in $variants; do
    read -r errors states < <(check "$model" "-D$variant" "${properties%% *}")
    echo "$model broken $variant: errors=$errors states=$states"
    [ "$errors" != 0 ] && [ "$errors" -gt 0 ]
  done
}

check_model claim "one_place one_result" "NO_COMPARE NO_LEASE NO_EXPIRY"
check_model takeover one_run "GRANT_LISTED LIST_LATE OWN_ONLY READ_ONLY"
