"""Cost of control for each role, and its growth with agents and jobs.

Measures CPU time, memory, RPC bytes and store calls."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")


def sample(c, seconds):
    """Mean use per process of each role, and store calls per second."""
    first = {role: c.process_usage(role) for role in "ea"}
    bytes_before = c.metric_sum("hyssopkeel_rpc_bytes_total")
    calls_before = c.store_stats()
    time.sleep(seconds)
    use = {}
    for role in "ea":
        last = c.process_usage(role)
        n = len(last)
        use[role + "_cpu"] = sum(b[0] - a[0] for a, b in
                                 zip(first[role], last)) / n / seconds * 100
        use[role + "_mb"] = sum(row[1] for row in last) / n
    rpc_bytes = c.metric_sum("hyssopkeel_rpc_bytes_total") - bytes_before
    use["e_bytes"] = rpc_bytes / len(c.entries) / seconds
    use["a_bytes"] = rpc_bytes / c.n_agents / seconds
    after = c.store_stats()
    use["store_calls"] = sum(after[k] - calls_before[k] for k in
                             ("reads", "writes", "lease_calls")) / seconds
    return use


def control(options):
    seconds = 5 if options.quick else 15
    with cluster.Cluster(TABLES, entries=2, agents=10) as c:
        time.sleep(3)
        idle = sample(c, seconds)
        handle = c.start_load(seconds + 2, [
            "fit-check:rate=1500,query=work_ms=20,reuse=1",
            "order:rate=100,query=work_ms=20"], seed=options.seed)
        time.sleep(1)
        busy = sample(c, seconds)
        c.wait_load(handle)
    report.print_table(["", "entry cpu %", "entry MB", "entry RPC B/s",
                        "agent cpu %", "agent MB", "agent RPC B/s",
                        "store calls/s"],
                       [[label] + ["%.2f" % row[k] for k in
                                   ("e_cpu", "e_mb", "e_bytes", "a_cpu",
                                    "a_mb", "a_bytes", "store_calls")]
                        for label, row in (("idle", idle),
                                           ("full load", busy))])
    print("full load includes the cost of the requests, which is not control")
    targets = report.Targets("control")
    for role, name in (("e", "entry"), ("a", "agent")):
        targets.at_most("idle %s cpu" % name, idle[role + "_cpu"], 1.1, "%")
        targets.at_most("%s memory" % name, busy[role + "_mb"], 64.0, "MB")
        targets.at_most("idle %s RPC" % name, idle[role + "_bytes"], 5000.0,
                        "B/s")
    targets.finish({"idle": idle, "busy": busy})


def fit_line(points):
    """Slope and intercept of the least-squares line through points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points)
             / sum((x - mean_x) ** 2 for x, _ in points))
    return slope, mean_y - slope * mean_x


def measure_agents_slope(options, details):
    rows = []
    sizes = [10, 40] if options.quick else [10, 40, 80, 160]
    for n in sizes:
        with cluster.Cluster(TABLES, entries=2, agents=n) as c:
            time.sleep(4)
            row = sample(c, 4 if options.quick else 10)
        rows.append([n, row])
    keys = ("e_cpu", "e_mb", "e_bytes", "a_cpu", "a_mb", "a_bytes",
            "store_calls")
    report.print_table(["agents", *keys],
                       [[n] + ["%.3f" % row[k] for k in keys]
                        for n, row in rows])
    lines = {}
    for key in keys:
        lines[key] = fit_line([(n, row[key]) for n, row in rows])
    report.print_table(["figure", "slope per agent", "intercept"],
                       [[k, "%.5f" % a, "%.3f" % b]
                        for k, (a, b) in lines.items()])
    details["agents"] = {"rows": rows, "lines": lines}
    return lines


def measure_jobs_slope(options, details):
    rows = []
    sizes = [10, 1000] if options.quick else [10, 1000, 3000, 10000]
    with cluster.Cluster(TABLES, entries=2, agents=2) as c:
        # The team's quota is 0, so that all its jobs stay queued.
        c.run_cli("edit", "pools/shop", 'quotas=["frozen=0"]')
        time.sleep(2)
        submitted = 0
        for size in sizes:
            while submitted < size:
                c.submit("lens-tint", {"work_ms": 1000}, id="j%d" % submitted,
                         team="frozen")
                submitted += 1
            time.sleep(2)
            row = sample(c, 4 if options.quick else 6)
            rows.append([size, row])
    keys = ("e_cpu", "e_mb")
    report.print_table(["jobs", *keys],
                       [[n] + ["%.3f" % row[k] for k in keys]
                        for n, row in rows])
    lines = {k: fit_line([(n, row[k]) for n, row in rows]) for k in keys}
    report.print_table(["figure", "slope per 1000 jobs", "intercept"],
                       [[k, "%.4f" % (a * 1000), "%.3f" % b]
                        for k, (a, b) in lines.items()])
    details["jobs"] = {"rows": rows, "lines": lines}
    return lines


def slopes(options):
    details = {}
    lines = measure_agents_slope(options, details)
    jobs = measure_jobs_slope(options, details)
    targets = report.Targets("slopes")

    def value_at(line, x):
        return line[0] * x + line[1]

    targets.at_most("entry memory at 740 agents and 11300 jobs",
                    value_at(lines["e_mb"], 740) + jobs["e_mb"][0] * 11300,
                    64.0, "MB")
    targets.at_most("entry cpu at 740 agents",
                    value_at(lines["e_cpu"], 740), 1.1, "%")
    targets.at_most("entry RPC at 740 agents",
                    value_at(lines["e_bytes"], 740), 5000.0, "B/s")
    targets.at_most("agent memory", value_at(lines["a_mb"], 740), 64.0, "MB")
    report.plot_bars("slopes", "idle store calls a second by agents",
                     [(str(n), row["store_calls"])
                      for n, row in details["agents"]["rows"]])
    targets.finish(details)
