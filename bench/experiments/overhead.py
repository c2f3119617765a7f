"""Cost of the path through entry and agent over direct calls to the worker."""

import os

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")


def run_load(c, direct, connections, size, requests):
    kind = "fit-check:size=%d,reuse=1" % size
    extra = ["--closed", str(connections), "--requests", str(requests)]
    entries = None
    if direct:
        extra += ["--direct", "/run/"]
        entries = ["http://%s:10000" % c.ip]
    else:
        entries = [c.entries[0]]
    rows_by_kind = c.wait_load(c.start_load(0, [kind], entries=entries,
                                            extra=extra))
    return rows_by_kind["fit-check"]


def overhead(options):
    targets = report.Targets("overhead")
    rows = []
    details = {}
    requests = 3000 if options.quick else 20000
    with cluster.Cluster(TABLES, entries=1, agents=10) as c:
        for size in (100, 65536):
            for connections in (1, 16, 64):
                n = requests if size == 100 else requests // 4
                if connections == 1:
                    n //= 4
                direct = run_load(c, True, connections, size, n)
                through = run_load(c, False, connections, size, n)
                rows.append([size, connections, "%.2f" % direct["p50_ms"],
                             "%.2f" % through["p50_ms"],
                             "%.2f" % through["p99_ms"],
                             "%.0f" % direct["goodput"],
                             "%.0f" % through["goodput"],
                             "%.2f" % (through["goodput"]
                                       / direct["goodput"])])
                details["%d/%d" % (size, connections)] = [direct, through]
        # Outcomes are kept for some seconds: growth is measured after a
        # warm-up that reaches that steady state.
        run_load(c, False, 64, 100, 10000 if options.quick else 50000)
        before = c.process_usage("e0")[0][1], c.process_usage("a0")[0][1]
        total = 20000 if options.quick else 200000
        run_load(c, False, 64, 100, total)
        after = c.process_usage("e0")[0][1], c.process_usage("a0")[0][1]
    report.print_table(["bytes", "conns", "direct p50 ms", "p50 ms", "p99 ms",
                        "direct/s", "through/s", "ratio"], rows)
    print("resident MB over %d requests: entry %.1f -> %.1f, agent %.1f -> "
          "%.1f" % (total, before[0], after[0], before[1], after[1]))
    one, many = details["100/1"], details["100/64"]
    targets.at_most("added p50", one[1]["p50_ms"] - one[0]["p50_ms"], 1.0,
                    "ms")
    targets.at_least("throughput at 64", many[1]["goodput"], 5000.0, "/s")
    targets.at_most("growth of entry", after[0] - before[0], 2.0, "MB")
    targets.at_most("growth of agent", after[1] - before[1], 2.0, "MB")
    report.plot_bars("overhead", "requests a second through one entry",
                     [("%s B, %s" % (r[0], r[1]), float(r[6])) for r in rows])
    targets.finish({"rows": rows})
