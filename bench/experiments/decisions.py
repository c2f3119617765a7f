"""Instructions per decision, as counted by callgrind: placement of a request,
and scheduling passes of the job coordinator."""

import math
import os
import re
import subprocess
import tempfile

import cluster
import report


def count_instructions(program, *args):
    with tempfile.TemporaryDirectory() as scratch:
        process = subprocess.run(
            ["valgrind", "--tool=callgrind", "--callgrind-out-file="
             + os.path.join(scratch, "out"), cluster.program_path(program)]
            + [str(a) for a in args],
            capture_output=True, text=True, check=True)
    return int(re.search(r"Collected : (\d+)", process.stderr).group(1))


def decisions(options):
    count = 2000
    rows = []
    for n in (10, 100, 740):
        # The difference of two runs excludes the cost of start-up.
        cost = (count_instructions("decisions", n, 2 * count)
                - count_instructions("decisions", n, count)) / count
        rows.append([n, round(cost)])
    report.print_table(["instances", "instructions"], rows)
    small, large = rows[1], rows[2]
    growth = large[1] / small[1]
    targets = report.Targets("decisions")
    targets.at_most("growth from 100 to 740 over that of the logarithm",
                    growth / (math.log2(740) / math.log2(100)), 1.1, "times")
    report.plot_bars("decisions", "instructions per placement",
                     [(str(n), float(v)) for n, v in rows])
    targets.finish({"rows": rows})


def passes(options):
    rounds = 10 if options.quick else 40
    cost = {}
    for size in ((50, 100), (200, 100), (740, 100), (2000, 100),
                 (200, 10), (200, 1000), (2000, 1000)):
        # The first rounds are the same in both runs.
        cost[size] = (count_instructions("passes", *size, 10 + rounds)
                      - count_instructions("passes", *size, 10)) / rounds
    report.print_table(["instances", "jobs", "instructions a round"],
                       [[n, jobs, round(c)] for (n, jobs), c in cost.items()])
    targets = report.Targets("passes")
    targets.at_most("growth from 200 to 2000 instances",
                    cost[2000, 1000] / cost[200, 1000], 2, "times")
    targets.at_most("growth from 100 to 1000 jobs",
                    cost[200, 1000] / cost[200, 100], 2, "times")
    targets.finish({"rows": [[n, jobs, c] for (n, jobs), c in cost.items()]})
