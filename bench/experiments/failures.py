"""Share of requests answered during failures.

A worker fails all work, a job fits no instance, a failure domain is killed,
and agents are replaced."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")
KINDS = ["fit-check:rate=200,query=work_ms=20,reuse=1",
         "order:rate=40,query=work_ms=20"]


def done_share(c, seconds, seed):
    rows = c.wait_load(c.start_load(seconds, KINDS, seed=seed))
    done = sum(row["done"] for row in rows.values())
    sent = sum(row["sent"] for row in rows.values())
    return done / sent, rows


def failures(options):
    seconds = 5 if options.quick else 10
    rows = []
    targets = report.Targets("failures")
    with cluster.Cluster(TABLES, entries=2, agents=10) as c:
        base_share, _ = done_share(c, seconds, options.seed)
        rows.append(["no fault", "%.3f" % base_share])

        # One worker fails every request and task.
        c.post_json("http://%s:10000/fault?fail_all=1" % c.ip, {})
        c.submit("lens-tint", {}, id="giant", memory_mb=900000)
        for i in range(12):
            c.submit("lens-tint", {"work_ms": 500}, id="t%d" % i)
        before = c.get_json("http://%s:10000/truth" % c.ip)["runs_total"]
        share, _ = done_share(c, seconds, options.seed + 1)
        after = c.get_json("http://%s:10000/truth" % c.ip)["runs_total"]
        rows.append(["one worker fails all", "%.3f" % share])
        per_entry = (after - before) / len(c.entries)
        c.post_json("http://%s:10000/fault?fail_all=0" % c.ip, {})

        # A job that fits no instance must not block the others.
        c.wait_for(lambda: all(j["state"] in ("done", "failed", "parked")
                               for j in c.jobs()), 60)
        states = {j["id"]: j["state"] for j in c.jobs()}
        tasks_done = sum(1 for k, v in states.items()
                         if k.startswith("t") and v == "done")

        # All workers and agents of one failure domain are killed at once.
        killed = [i for i in range(10) if i % c.domains == 1]
        for i in killed:
            c.kill("a%d" % i)
            c.kill("w%d" % i)
        time.sleep(5)
        domain_share, _ = done_share(c, seconds, options.seed + 2)
        rows.append(["5 s after a domain went", "%.3f" % domain_share])
        for i in killed:
            c.start_worker(i)
            c.start_agent(i)
        time.sleep(3)

        # Agents are killed and restarted one after another under load.
        retries = c.metric_sum("hyssopkeel_retries_total")
        handle = c.start_load(seconds, KINDS, seed=options.seed + 3)
        for i in range(0, 10, 2):
            c.kill("a%d" % i)
            c.start_agent(i)
            time.sleep(seconds / 8)
        result = c.wait_load(handle)
        sent = sum(row["sent"] for row in result.values())
        done = sum(row["done"] for row in result.values())
        rows.append(["agents replaced", "%.3f" % (done / sent)])
        retries = c.metric_sum("hyssopkeel_retries_total") - retries
    report.print_table(["phase", "answered"], rows)
    targets.at_most("runs on the bad worker per entry", per_entry, 20.0, "")
    targets.at_least("jobs beside the impossible one", tasks_done, 12, "done")
    targets.add("impossible job", states["giant"], "",
                states["giant"] == "parked")
    targets.at_least("5 s after the domain went", domain_share / base_share,
                     0.95, "of before")
    targets.at_most("retries", retries / sent, 0.1, "of first tries")
    report.plot_bars("failures", "answered share",
                     [(r[0], float(r[1])) for r in rows])
    targets.finish({"rows": rows})
