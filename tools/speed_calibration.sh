#!/usr/bin/env bash
# Compares the speed that best-effort runs were expected to have with the speed
# that they had, from the logs of the entries: for each tenth of the expected
# speed the number of runs that ended, the mean expected speed, the mean speed
# over the life of the runs, and the share that was relocated or stood still.
# A last part has the same for runs with a possible cause of a wrong
# expectation. Logs without "expected=" give the relocations alone.
#
#   tools/speed_calibration.sh LOG...
set -euo pipefail
if [ $# -eq 0 ]; then
  sed -n '2,/^set/{/^# \{0,1\}/{s///;p}}' "$0" >&2
  exit 2
fi
exec awk '
# Sets the array field from the key=value words of a line.
function read_fields(text, n, words, i, at) {
  delete field
  gsub(/"/, " ", text)
  n = split(text, words, " ")
  for (i = 1; i <= n; i++)
    if ((at = index(words[i], "=")) > 0)
      field[substr(words[i], 1, at - 1)] = substr(words[i], at + 1)
}

function add(row) {
  runs[row]++
  expected_sum[row] += expected[run]
  speed_sum[row] += field["speed"]
  relocated[row] += (run in moved)
  still[row] += field["still_ms"] + 0 > 0
  stills[row] += field["stills"]
  still_ms[row] += field["still_ms"]
}

function print_row(name, row) {
  if (runs[row] == 0)
    return
  printf "%-20s %6d %9.2f %6.2f %10.3f %9.3f %13.0f\n", name, runs[row],
    expected_sum[row] / runs[row], speed_sum[row] / runs[row],
    relocated[row] / runs[row], still[row] / runs[row],
    stills[row] ? still_ms[row] / stills[row] : 0
}

/event=(run_ordered|run_starting|run_ended|moved) / {
  read_fields($0)
  run = field["request"] "/" field["step"] "/" field["index"] "/" field["run"]
  if (field["event"] == "moved") {
    moved[run] = 1
    n_moved++
    slow_ms += field["slow_ms"]
    early += field["slow_ms"] + 0 < 600
  } else if (field["event"] == "run_starting")
    started[run] = 1
  else if (field["event"] == "run_ordered" && ("expected" in field)) {
    expected[run] = field["expected"] + 0
    first[run] = field["first"] + 0
    unknown[run] = field["unknown"] + 0
    sample_ms[run] = field["sample_ms"] + 0
  } else if (field["event"] == "run_ended" && ("speed" in field) &&
             (run in expected)) {
    tenth = int(expected[run] * 10 + 1e-6)
    add(tenth > 9 ? 9 : tenth)
    add("all")
    if (first[run] < 0.5)
      add("first")
    if (unknown[run] > 0)
      add("unknown")
    if (sample_ms[run] > 450)
      add("sample")
  }
}

END {
  for (run in started)
    n_started++
  printf "starts %d, relocations %d, mean time at low speed before one %.0f ms, %d below 600 ms\n",
    n_started, n_moved, n_moved ? slow_ms / n_moved : 0, early
  if (runs["all"] == 0) {
    print "no run that ended has its expected speed in these logs"
    exit
  }
  print "expected speed         runs  expected  speed  relocated  stood still  ms each time"
  for (tenth = 9; tenth >= 0; tenth--)
    print_row(sprintf("%.1f to %.1f", tenth / 10, (tenth + 1) / 10), tenth)
  print_row("all", "all")
  print_row("first 0.3 s < 0.5", "first")
  print_row("unknown pairs", "unknown")
  print_row("report > 450 ms old", "sample")
}' "$@"
