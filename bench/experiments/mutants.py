"""Disables the mechanism of each promise: its scenario must then fail.

Works on a scratch copy of the sources and disables one mechanism at a time."""

import os
import shutil
import subprocess
import tempfile

import cluster
import report

# promise, file, [(text, replacement)], scenario
MUTANTS = [
    ("1 no overcommit", [
        ("src/policy/limits.c", "return l->slots - used;",
         "return l->slots + 0 * used;"),
        ("src/policy/ledger.c", "if (!hk_size_fits (size, &available))",
         "if (!hk_size_fits (size, &l->total))")], "capacity-races"),
    ("2 one place", [
        ("src/agent/session.c", "return s->expires_ms - DRIFT_MARGIN_MS;",
         "return INT64_MAX / 2;")], "place-cut-from-store"),
    ("3 resume once", [
        ("src/agent/job_claim.c", "j->next.epoch = j->job.epoch + 1;",
         "j->next.epoch = MAX (j->job.epoch, 1);")], "resume-evicted"),
    ("4 whole answers", [
        ("src/rpc/rpc_channel.c", "GUINT_TO_POINTER (GUINT32_FROM_BE (xid))",
         "GUINT_TO_POINTER (GUINT32_FROM_BE (xid) ^ 1)")], "whole-answers"),
    ("5 not-run is true", [
        ("src/entry/attempt.c", "        hk_attempt_query (a);\n    }\n}",
         "        attempt_not_run (a, err->text, FALSE);\n    }\n}")],
     "not-run-link-cut"),
    ("6 at most once", [
        ("src/entry/dispatch.c", "d->claim_name = hk_claim_name_new (request);",
         "(void)hk_claim_name_new;")], "once-two-entries"),
    ("7 leaving", [
        ("src/agent/requests.c", "if (r->agent->draining)", "if (FALSE)")],
     "leaving-drain"),
    ("8 graceful stop", [
        ("src/entry/http.c", "  h->listener_closed = TRUE;",
         "  soup_server_disconnect (h->server);\n  h->listener_closed = TRUE;")],
     "graceful-entry"),
    ("9 in force", [
        ("src/store/mirror.c", "    replace_watch (m);",
         "    (void)replace_watch;"),
        ("src/store/mirror.c", "if (strcmp (res->kvs[0].key, m->probe_key) "
         "== 0)", "if (FALSE)"),
        ("src/entry/peers.c", "if (rc == HK_OK && tables->text.text_len > 0)",
         "if (FALSE)")], "tables-watch-hangs"),
    ("9 no lost edit", [
        ("src/tables/table_apply.c",
         "if (!own || same_row (own->after, theirs->after))",
         "if (!own || own)")], "tables-two-operators"),
    ("9 accepted once", [
        ("src/store/record.c", "if (current && has_write_id (current, "
         "w->write_id))", "if (FALSE && has_write_id (current, w->write_id))"),
        ("src/tables/table_apply.c", "if (already_written (a))",
         "if (FALSE && already_written (a))")],
     "tables-lost-answers"),
]


def edit(root, changes):
    """Applies changes to files; returns the old content by path."""
    old = {}
    for path, text, replacement in changes:
        full = os.path.join(root, path)
        with open(full) as source:
            content = source.read()
        old.setdefault(full, content)
        if text not in content:
            raise RuntimeError("cannot apply the mutant: %s does not "
                               "contain: %s" % (path, text))
        with open(full, "w") as out:
            out.write(content.replace(text, replacement, 1))
    return old


def build(root):
    subprocess.run(["ninja", "-C", os.path.join(root, "build")], check=True,
                   stdout=subprocess.DEVNULL)


def run_scenario(root, name):
    env = dict(os.environ, HK_BUILD_DIR=os.path.join(root, "build"))
    script = os.path.join(root, "tests/scenario/scripts", name + ".scn")
    runner = os.path.join(root, "build/scenario-runner")
    done = subprocess.run(["timeout", "120", runner, script], env=env,
                          capture_output=True, text=True)
    why = [line for line in (done.stdout + done.stderr).splitlines()
           if ".scn:" in line or "violation" in line]
    return done.returncode, why[0] if why else ""


def mutants(options):
    root = tempfile.mkdtemp(prefix="hyssopkeel-mutants-")
    rows = []
    killed = 0
    try:
        for part in ("src", "include", "tools", "tests", "bench",
                     "CMakeLists.txt"):
            source = os.path.join(cluster.ROOT, part)
            target = os.path.join(root, part)
            if os.path.isdir(source):
                shutil.copytree(source, target)
            else:
                shutil.copy(source, target)
        subprocess.run(["cmake", "-S", root, "-B",
                        os.path.join(root, "build"), "-G", "Ninja"],
                       check=True, stdout=subprocess.DEVNULL)
        for promise, changes, scenario in MUTANTS:
            build(root)
            whole, _ = run_scenario(root, scenario)
            old = edit(root, changes)
            build(root)
            broken, why = run_scenario(root, scenario)
            for path, content in old.items():
                with open(path, "w") as out:
                    out.write(content)
            caught = whole == 0 and broken != 0
            killed += caught
            rows.append([promise, scenario, "passes" if whole == 0 else
                         "fails", "fails" if broken else "PASSES",
                         why[:70]])
            print("  ".join(rows[-1]), flush=True)
    finally:
        shutil.rmtree(root)
    targets = report.Targets("mutants")
    targets.at_least("caught", killed, len(MUTANTS), "mutants")
    targets.finish({"rows": rows})
