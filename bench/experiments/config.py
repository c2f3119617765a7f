"""Time until a table change is installed on all entries and instances.

The changes of a day are made in quick succession."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")


def is_installed(c, revision):
    for entry in c.entries:
        status = c.get_json(entry + "/status")
        if status["revision"] < revision:
            return False
        if any(m["table_revision"] < revision for m in status["instances"]):
            return False
    return True


def config(options):
    changes = 30 if options.quick else 120
    times = []
    with cluster.Cluster(TABLES, entries=2, agents=10) as c:
        before = c.store_stats()
        started = time.time()
        for i in range(changes):
            code, _ = c.run_cli("edit", "routes/order",
                                "deadline_ms=%d" % (1000 + i))
            assert code == 0
            accepted = time.time()
            c.wait_for(lambda i=i: is_installed(c, i + 2), 30)
            times.append(time.time() - accepted)
        elapsed = time.time() - started
        after = c.store_stats()
    times.sort()
    calls = sum(after[k] - before[k] for k in
                ("reads", "writes", "lease_calls")) / changes
    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
    report.print_table(["changes", "p50 s", "p99 s", "max s",
                        "store calls/change"],
                       [[changes, "%.3f" % p50, "%.3f" % p99,
                         "%.3f" % times[-1], "%.1f" % calls]])
    print("store calls include the polls and lease renewals of %.0f s"
          % elapsed)
    targets = report.Targets("config")
    targets.at_most("in force everywhere, max", times[-1], 5.0, "s")
    targets.finish({"seconds": times, "calls_per_change": calls})
