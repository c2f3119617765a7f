"""Starts a small fleet of local processes for an experiment and calls it."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("HK_BUILD_DIR", os.path.join(ROOT, "build"))
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def program_path(name):
    return os.path.join(BUILD, name)


class Cluster:
    """A store, entries, and workers with agents, as processes on loopback.

    The loopback address comes from the ID of the calling process, so that
    several experiments can run at once."""

    def __init__(self, tables, entries=2, agents=10, domains=3, pool="shop",
                 entry_settings=None, agent_settings=None, worker_args=(),
                 store_args=(), distance_us=1500):
        self.dir = tempfile.mkdtemp(prefix="hyssopkeel-bench-")
        self.ip = "127.77.%d.%d" % (os.getpid() >> 8 & 0xff,
                                    os.getpid() & 0xff or 1)
        self.store_url = "http://%s:2379" % self.ip
        self.processes = {}
        self.entries = ["http://%s:%d" % (self.ip, 8000 + i)
                        for i in range(entries)]
        self.n_agents = agents
        self.start_process("store", [program_path("store-standin"), "--listen",
                                     "%s:2379" % self.ip, *store_args])
        for i in range(entries):
            self.start_entry(i, entries, domains, distance_us,
                             entry_settings or {})
        self.pool = pool
        self.domains = domains
        self.agent_settings = agent_settings or {}
        self.worker_args = list(worker_args)
        for i in range(agents):
            self.start_worker(i)
            self.start_agent(i)
        self.wait_for(lambda: self.run_cli("--who", "bench", "apply",
                                           tables)[0] == 0)
        self.wait_for(self.is_ready)

    def start_process(self, name, argv):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(argv, stdout=log, stderr=log)

    def write_settings(self, name, values):
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as out:
            json.dump(values, out)
        return path

    def start_entry(self, i, n, domains, distance_us, overrides):
        values = {
            "role": "entry", "name": "e%d" % i, "domain": "d%d" % (i % domains),
            "http": "%s:%d" % (self.ip, 8000 + i),
            "rpc": "%s:%d" % (self.ip, 7000 + i),
            "peers": ["%s:%d" % (self.ip, 7000 + k) for k in range(n)
                      if k != i],
            "store": [self.store_url], "log": "warn",
            "distance_us": distance_us, **overrides}
        self.start_process("e%d" % i, [program_path("hyssopkeeld"), "-s",
                                       self.write_settings("e%d" % i, values)])

    def start_worker(self, i):
        self.start_process("w%d" % i, [program_path("worker-standin"),
                                       "--listen",
                                       "%s:%d" % (self.ip, 10000 + i),
                                       *self.worker_args])

    def start_agent(self, i):
        values = {
            "role": "agent", "name": "i%d" % i,
            "domain": "d%d" % (i % self.domains), "pool": self.pool,
            "rpc": "%s:%d" % (self.ip, 11000 + i),
            "worker": "http://%s:%d" % (self.ip, 10000 + i),
            "entries": ["%s:%d" % (self.ip, 7000 + k)
                        for k in range(len(self.entries))],
            "store": [self.store_url], "log": "warn", **self.agent_settings}
        self.start_process("a%d" % i, [program_path("hyssopkeeld"), "-s",
                                       self.write_settings("a%d" % i, values)])

    def wait_for(self, condition, timeout_s=60):
        deadline = time.time() + timeout_s
        while not condition():
            if time.time() > deadline:
                raise RuntimeError("condition not met within %g s; the logs "
                                   "are in %s" % (timeout_s, self.dir))
            time.sleep(0.05)

    def is_ready(self):
        try:
            for entry in self.entries:
                status = self.get_json(entry + "/status")
                live = [m for m in status["instances"]
                        if not m["refusing"] and m["table_revision"] > 0]
                if len(live) < self.n_agents:
                    return False
            sessions = json.loads(
                self.run_cli("--json", "status")[1])["sessions"]
            return len(sessions) >= self.n_agents
        except (OSError, ValueError):
            return False

    def get_json(self, url):
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.loads(response.read())

    def post_json(self, url, value):
        request = urllib.request.Request(url, json.dumps(value).encode(),
                                         method="POST")
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.loads(response.read())

    def metrics(self, entry):
        with urllib.request.urlopen(entry + "/metrics",
                                    timeout=10) as response:
            lines = response.read().decode().splitlines()
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1])
                for line in lines}

    def metric_sum(self, prefix):
        return sum(value for entry in self.entries
                   for name, value in self.metrics(entry).items()
                   if name.startswith(prefix))

    def inject_fault(self, **values):
        return self.post_json(self.store_url + "/standin/fault", values)

    def store_stats(self):
        return self.get_json(self.store_url + "/standin/stats")

    def run_cli(self, *argv):
        process = subprocess.run([program_path("hyssopkeel"), "--store",
                                  self.store_url, *argv], capture_output=True,
                                 text=True)
        return process.returncode, process.stdout

    def jobs(self):
        return json.loads(self.run_cli("--json", "jobs", "list")[1])

    def submit(self, route, payload, entry=0, **values):
        return self.post_json(self.entries[entry] + "/jobs",
                              {"route": route, "payload": json.dumps(payload),
                               **values})

    def start_load(self, duration, kinds, seed=1, entries=None, extra=()):
        """Starts the load generator; returns a handle for wait_load()."""
        path = os.path.join(self.dir, "load-%d.json" % time.time_ns())
        argv = [program_path("hyssopkeel-load"), "--json", path, "--seed",
                str(seed), *extra]
        if duration:
            argv += ["-d", str(duration)]
        for entry in entries or self.entries:
            argv += ["-e", entry]
        for kind in kinds:
            argv += ["-k", kind]
        return subprocess.Popen(argv, stdout=subprocess.DEVNULL), path

    def wait_load(self, handle):
        """Waits for a load generator; returns its results by kind."""
        process, path = handle
        process.wait()
        with open(path) as text:
            return json.load(text)["kinds"]

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def process_usage(self, prefix):
        """CPU seconds and resident MB of each process with the name prefix."""
        rows = []
        for name, process in self.processes.items():
            if not name.startswith(prefix):
                continue
            with open("/proc/%d/stat" % process.pid) as text:
                fields = text.read().rsplit(")", 1)[1].split()
            with open("/proc/%d/statm" % process.pid) as text:
                pages = int(text.read().split()[1])
            rows.append(((int(fields[11]) + int(fields[12])) / TICKS_PER_S,
                         pages * PAGE_KB / 1024))
        return rows

    def stop(self):
        """Kills all processes; the scenarios test graceful stops."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.dir)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()
