#!/usr/bin/env bash
# Checks that a scheduling pass costs what has changed and not what the size of
# the site would: plays the same rounds of a burst to a coordinator at several
# sizes and compares instructions, which repeat, unlike times.
# Usage: pass_cost.sh PROGRAM
set -euo pipefail
program=$1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Arguments are those of the program but the number of rounds, and the racks.
# The difference of two runs excludes the set-up.
per_round () {
  local first second
  first=$(instructions "$1" "$2" 10 "${3:-0}")
  second=$(instructions "$1" "$2" 30 "${3:-0}")
  echo $(((second - first) / 20))
}

instructions () {
  valgrind --tool=callgrind --callgrind-out-file="$scratch/out" \
    "$program" "$1" "$2" "$3" "$4" 2>&1 | sed -n 's/.*Collected : //p'
}

status=0
check () {
  local name=$1 small=$2 large=$3
  echo "$name: $small to $large instructions a round"
  if ((large > 2 * small)); then
    echo "$name: grows more than 2 times"
    status=1
  fi
}

loaded=$(per_round 200 1000)
check "from 100 to 1000 jobs" "$(per_round 200 100)" "$loaded"
check "from 200 to 2000 instances" "$loaded" "$(per_round 2000 1000)"
check "from 200 to 2000 instances, data on 10 racks" \
  "$(per_round 200 1000 10)" "$(per_round 2000 1000 10)"
exit $status
