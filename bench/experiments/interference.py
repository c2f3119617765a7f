"""Batch tasks that slow fit checks in waves, with and without eviction.

Measures the latency of fit checks and the batch work that finishes."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")
KINDS = ["fit-check:rate=400,query=work_ms=20,reuse=1"]
WORK_MS = 6000
NOISE_PERCENT = 60


def run_fleet(evict, batch, interactive, options, seconds):
    with cluster.Cluster(TABLES, entries=2, agents=10) as c:
        if not evict:
            c.run_cli("edit", "pools/shop", "evict=false")
        time.sleep(1)
        if batch:
            for i in range(60):
                c.submit("lens-tint", {"work_ms": WORK_MS,
                                       "noise": NOISE_PERCENT,
                                       "noise_period_ms": 3000}, id="t%d" % i)
        time.sleep(1)
        started = time.time()
        if interactive:
            row = c.wait_load(c.start_load(seconds, KINDS, seed=options.seed))
            p99 = row["fit-check"]["p99_ms"]
        else:
            time.sleep(seconds)
            p99 = 0
        jobs = c.jobs()
        elapsed = time.time() - started
    done = sum(1 for j in jobs if j["state"] == "done")
    evictions = sum(j["evictions"] for j in jobs)
    return {"p99": p99, "done": done * WORK_MS / 1000 / elapsed,
            "evictions": evictions / max(done, 1)}


def interference(options):
    seconds = 15 if options.quick else 40
    checks_alone = run_fleet(True, False, True, options, seconds)
    batch_alone = run_fleet(True, True, False, options, seconds)
    rows = {"checks alone": checks_alone, "batch alone": batch_alone}
    rows["chosen"] = run_fleet(True, True, True, options, seconds)
    rows["no eviction"] = run_fleet(False, True, True, options, seconds)
    report.print_table(["run", "fit-check p99 ms", "batch slots",
                        "evictions/task"],
                       [[k, "%.1f" % r["p99"], "%.1f" % r["done"],
                         "%.2f" % r["evictions"]] for k, r in rows.items()])
    targets = report.Targets("interference")
    chosen = rows["chosen"]
    targets.at_most("fit-check p99", chosen["p99"] / checks_alone["p99"], 1.2,
                    "times alone")
    targets.at_least("batch", chosen["done"] / max(batch_alone["done"], 0.01),
                     0.85, "of alone")
    report.plot_bars("interference", "fit-check p99, ms",
                     [(k, r["p99"]) for k, r in rows.items()])
    targets.finish(rows)
