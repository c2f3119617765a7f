"""Floods one route at ten times the capacity of the fleet.

Measures goodput and latency of the other routes, refusals and batch work."""

import os
import time

import cluster
import report

TABLES = os.path.join(cluster.ROOT, "bench", "tables.json")
FLEET_SLOTS = 80       # ten workers of eight slots
TINT_FLOOR_SLOTS = 20  # two slots on each of ten workers
TINT_MS = 8000
FLOOD_MS = 400
BASE_KINDS = ["fit-check:rate=100,query=work_ms=50,reuse=1",
              "order:rate=40,query=work_ms=50"]
# Settings of the entries and of the agents under each policy.
POLICIES = {
    "chosen": ({}, {}),
    "fifo": ({}, {"fifo": True}),
    "random": ({"random_placement": True}, {}),
}


def finished_slots(jobs, seconds):
    """Mean number of slots used by the batch tasks that finished."""
    done = sum(1 for j in jobs if j["state"] == "done")
    return done * TINT_MS / 1000.0 / seconds


def run_policy(policy, flood_urgency, options, seconds):
    entry, agent = POLICIES[policy]
    with cluster.Cluster(TABLES, entries=2, agents=10, entry_settings=entry,
                         agent_settings=agent) as c:
        for i in range(120):
            c.submit("lens-tint", {"work_ms": TINT_MS}, id="t%d" % i)
        time.sleep(1)
        started = time.time()
        calm = c.wait_load(c.start_load(seconds / 2, BASE_KINDS,
                                        seed=options.seed))
        kinds = list(BASE_KINDS)
        flood_rate = 10 * FLEET_SLOTS * 1000.0 / FLOOD_MS
        if flood_urgency == "high":
            kinds[0] = "fit-check:rate=100,query=work_ms=50,reuse=1"
            kinds.append("flood:route=fit-check,rate=%g,query=work_ms=%d,"
                         "reuse=1" % (flood_rate, FLOOD_MS))
        else:
            kinds.append("flood:route=survey,rate=%g,query=work_ms=%d,reuse=1"
                         % (flood_rate, FLOOD_MS))
        flooded = c.wait_load(c.start_load(seconds, kinds,
                                           seed=options.seed + 1))
        elapsed = time.time() - started
        tint_slots = finished_slots(c.jobs(), elapsed)
    return calm, flooded, tint_slots


def measure(name, flood_urgency, options):
    seconds = 10 if options.quick else 30
    watched = ["order"] if flood_urgency == "high" else ["fit-check", "order"]
    rows = []
    details = {}
    for policy in POLICIES:
        calm, flooded, tint_slots = run_policy(policy, flood_urgency,
                                               options, seconds)
        details[policy] = {"calm": calm, "storm": flooded, "tint": tint_slots}
        for kind in ["fit-check", "order", "flood"]:
            s = flooded[kind]
            k = calm.get(kind, {"p99_ms": 0, "goodput": 0})
            rows.append([policy, kind, "%.1f" % k["p99_ms"],
                         "%.1f" % s["p99_ms"], "%.1f" % s["goodput"],
                         s["not-run"], s["unknown"], s["lost"],
                         "%.1f" % s["refused_p99_ms"]])
        rows.append([policy, "lens-tint", "", "", "%.1f slots" % tint_slots,
                     "", "", "", ""])
    report.print_table(["policy", "kind", "calm p99", "flood p99", "done/s",
                        "not-run", "unknown", "lost", "refused p99"], rows)
    targets = report.Targets(name)
    chosen = details["chosen"]
    for kind in watched:
        c, s = chosen["calm"][kind], chosen["storm"][kind]
        targets.at_least(kind + " goodput", s["done"] / max(s["sent"], 1),
                         0.95, "of demand")
        targets.at_most(kind + " p99", s["p99_ms"] / max(c["p99_ms"], 0.1),
                        1.5, "times calm")
    targets.at_most("refusal p99", chosen["storm"]["flood"]["refused_p99_ms"],
                    50.0, "ms")
    targets.at_least("batch", chosen["tint"] / TINT_FLOOR_SLOTS, 0.95,
                     "of floor")
    report.plot_bars(name, "p99 of order during the flood, ms",
                     [(p, d["storm"]["order"]["p99_ms"])
                      for p, d in details.items()])
    targets.finish(details)


def flood_low(options):
    measure("flood-low", "low", options)


def flood_high(options):
    measure("flood-high", "high", options)
