"""Starts 38 tasks a second with a store limited to its stated rates.

Measures the waits of urgent jobs, also after an outage of the store."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")
STARTS_PER_S = 38.0
TASK_MS = 500


def submit_jobs(c, seconds, prefix):
    started = time.time()
    n = 0
    while time.time() - started < seconds:
        urgent = n % 4 == 0
        c.submit("urgent-tint" if urgent else "lens-tint",
                 {"work_ms": TASK_MS}, entry=n % len(c.entries),
                 id="%s%d" % (prefix, n))
        n += 1
        time.sleep(max(0, started + n / STARTS_PER_S - time.time()))
    return n


def urgent_waits(c, prefix):
    """Sorted seconds from submission to the first start of urgent jobs."""
    return sorted((j["started_ms"] - j["submitted_ms"]) / 1000.0
                  for j in c.jobs()
                  if j["id"].startswith(prefix) and j["started_ms"] > 0
                  and j["route"] == "urgent-tint")


def quantiles(values):
    if not values:
        return [float("inf")] * 3
    return [values[len(values) // 2], values[int(len(values) * 0.99)],
            values[-1]]


def all_done(c):
    return all(j["state"] == "done" for j in c.jobs())


def starts(options):
    seconds = 8 if options.quick else 20
    outage_s = 4 if options.quick else 10
    agents = 20
    with cluster.Cluster(TABLES, entries=2, agents=agents,
                         store_args=["--writes-per-s", "400",
                                     "--reads-per-s", "2000"]) as c:
        before = c.store_stats()
        n = submit_jobs(c, seconds, "a")
        after = c.store_stats()
        c.wait_for(lambda: all_done(c), 120)
        steady = quantiles(urgent_waits(c, "a"))
        calls_per_start = sum(after[k] - before[k]
                              for k in ("reads", "writes", "lease_calls")) / n
        c.inject_fault(outage=True)
        time.sleep(outage_s)
        c.inject_fault(outage=False)
        submit_jobs(c, seconds, "b")
        c.wait_for(lambda: all_done(c), 120)
        after_outage = quantiles(urgent_waits(c, "b"))
    report.print_table(["phase", "p50 s", "p99 s", "max s"],
                       [["steady"] + ["%.3f" % v for v in steady],
                        ["after outage"] + ["%.3f" % v for v in after_outage]])
    print("store calls per start: %.1f" % calls_per_start)
    targets = report.Targets("starts")
    targets.at_most("urgent start max", steady[2], 3.5, "s")
    targets.at_most("urgent start max after outage", after_outage[2], 3.5, "s")
    targets.finish({"steady": steady, "after_outage": after_outage,
                    "calls": calls_per_start})
