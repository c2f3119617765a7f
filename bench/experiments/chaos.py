"""Runs the chaos scenario with many seeds: random faults under load.

The scenario checks the promises against the ground truth of the workers."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import cluster

SCRIPT = os.path.join(cluster.ROOT, "tests", "scenario", "scripts",
                      "chaos-1.scn")
PARALLEL_RUNS = 4
RUN_TIMEOUT_S = 300


def run_seed(seed):
    env = dict(os.environ, HK_SEED=str(seed), HK_BUILD_DIR=cluster.BUILD)
    try:
        process = subprocess.run([cluster.program_path("scenario-runner"),
                                  SCRIPT],
                                 capture_output=True, text=True, env=env,
                                 timeout=RUN_TIMEOUT_S)
        return seed, process.returncode, process.stdout + process.stderr
    except subprocess.TimeoutExpired as error:
        return seed, 1, "timed out: %s" % error


def chaos(options):
    totals = {"faults": 0, "requests": 0, "jobs": 0, "unknown": 0}
    failed_seeds = []
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for seed, code, output in pool.map(
                run_seed, range(options.seed, options.seed + options.seeds)):
            summary = re.search(r"chaos seed=\d+ .*", output)
            for key, value in re.findall(r"(\w+)=(\d+)",
                                         summary.group(0) if summary else ""):
                if key in totals:
                    totals[key] += int(value)
            if code != 0:
                failed_seeds.append(seed)
                print("seed %d:" % seed)
                for line in output.splitlines():
                    if "violation" in line or ".scn:" in line:
                        print("  " + line)
    print("unknown share: %.2f%%" % (100.0 * totals["unknown"]
                                     / max(totals["requests"], 1)))
    print("seeds=%d faults=%d requests=%d jobs=%d violations=%d"
          % (options.seeds, totals["faults"], totals["requests"],
             totals["jobs"], len(failed_seeds)))
    return 1 if failed_seeds else 0
