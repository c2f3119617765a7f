"""Instructions per placement decision, as counted by callgrind."""

import math
import os
import re
import subprocess
import tempfile

import cluster
import report


def count_instructions(n, count):
    with tempfile.TemporaryDirectory() as scratch:
        process = subprocess.run(
            ["valgrind", "--tool=callgrind", "--callgrind-out-file="
             + os.path.join(scratch, "out"), cluster.program_path("decisions"),
             str(n), str(count)], capture_output=True, text=True, check=True)
    return int(re.search(r"Collected : (\d+)", process.stderr).group(1))


def decisions(options):
    count = 2000
    rows = []
    for n in (10, 100, 740):
        # The difference of two runs excludes the cost of start-up.
        cost = (count_instructions(n, 2 * count)
                - count_instructions(n, count)) / count
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
