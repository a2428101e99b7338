"""The dimension `fleet` of measure_capacity.py: daemons in 4 regions with 10 data centres.

Each data centre has an address of its own on loopback, and one engine stand-in runs in each
region. One platform stand-in has the limits of the target. The phases are: start, settled, three
configuration changes, publishing by 4 regions, loss and restart of a daemon, loss and restart of
a data centre, and (with CUT=1) all regions cut apart for CUT_S seconds. A cut is made by a
library that is preloaded into the daemons, see cut_regions.c; the platform stays reachable.

Times are from polled status pages; `poll_s` is the longest round of polls and bounds the error.
"""

import collections
import concurrent.futures
import json
import os
import pathlib
import statistics
import subprocess
import tempfile
import time
import urllib.request

from measure_capacity import BUILD, HOST, MEASURE_S, PLATFORM, TICKS_PER_S, get, total_calls

# The settled phase starts after the updates of the start have been sent.
FLEET_SETTLE_S = int(os.environ.get("FLEET_SETTLE_S", "30"))
CUT = os.environ.get("CUT") == "1"
CUT_S = int(os.environ.get("CUT_S", "30"))
TIMEOUT_S = 120
POLL_THREADS = 16
# Of the machine, whose limit on processes and threads is shared with others.
MAX_THREADS = 26000
THREADS_PER_DAEMON = 26
CHANGES = 3
PUBLISH_S = 10
MODELS = 20
REGION_OF_CENTRE = [1, 1, 1, 2, 2, 2, 3, 3, 4, 4]
LOST_CENTRE = 5
ALIVE, SUSPECT, LEAVING, DEAD = range(4)
READ_VERBS = {"get", "list", "watch"}

Daemon = collections.namedtuple("Daemon", "name region centre admin")


class Fleet:
    """The processes of one measured size; ended by id."""

    def __init__(self, count):
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name)
        self.count = count
        self.processes = []
        self.running = {}
        self.daemons = [self.make_daemon(n) for n in range(count)]
        self.pool = concurrent.futures.ThreadPoolExecutor(POLL_THREADS)
        self.longest_poll_s = 0.0
        self.cut_flag = self.path / "cut"

    def make_daemon(self, n):
        centre = n % len(REGION_OF_CENTRE)
        region = REGION_OF_CENTRE[centre]
        return Daemon(f"entry-{n}", region, centre, f"127.{region}.{centre}.1:{11500 + n}")

    def start(self, name, *arguments, environment=None):
        log = open(self.path / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(BUILD / arguments[0]), *arguments[1:]],
            stdout=log, stderr=log, env={**os.environ, **(environment or {})},
        )
        log.close()
        self.processes.append(process)
        return process

    def stop(self):
        self.pool.shutdown()
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    def start_platform(self):
        self.start(
            "platform", "platform_standin", "--listen", PLATFORM, "--writes-per-s", "400",
            "--reads-per-s", "2000", "--threads", str(100 + 4 * self.count),
        )
        for region in range(1, 5):
            self.start(
                f"engine-{region}", "engine_standin", "--id", f"engine-{region}",
                "--listen", f"{HOST}:{9100 + region}", "--memory-mb", "400000",
                "--load-ms", "20", "--checks-fencing",
            )
        time.sleep(1)

    def apply(self, value):
        """Applies a configuration that differs from others in the weight of a class only."""
        folder = self.path / "configuration"
        folder.mkdir(exist_ok=True)
        lines = ["data_centres:"]
        for centre, region in enumerate(REGION_OF_CENTRE):
            lines.append(f"  - {{name: dc{centre}, region: r{region}}}")
        lines.append("endpoints:")
        for region in range(1, 5):
            lines.append(
                f"  - {{id: engine-{region}, kind: engine, "
                f"data_centre: dc{REGION_OF_CENTRE.index(region)}, memory_mb: 400000, "
                f'address: "{HOST}:{9100 + region}", checks_fencing: true, slots: 8}}'
            )
        lines.append("models:")
        lines += [f'  - {{name: model-{n}, version: "1", memory_mb: 500}}' for n in range(MODELS)]
        lines += ["weight_store:", "  loads_per_s: 100", "  loads_at_once: 50"]
        lines += ["  adapter_load_ms: 10", "  adapter_loads_in_flight: 48", "survival_goal: vm"]
        lines += ["classes:", f"  interactive: {{value: {value}}}"]
        lines += ["routes:", "  - {path_prefix: /v1/, kind: engine, priority: interactive}"]
        (folder / "configuration.yaml").write_text("\n".join(lines) + "\n")
        subprocess.run(
            [str(BUILD / "coltsfootvane"), "apply", str(folder), "--platform", PLATFORM],
            check=True, stdout=subprocess.DEVNULL,
        )

    def peer_address(self, n):
        daemon = self.daemons[n]
        return f"127.{daemon.region}.{daemon.centre}.1:{12000 + n}"

    def start_daemon(self, n):
        daemon = self.daemons[n]
        host = daemon.admin.split(":")[0]
        # One first peer in each region, as far as there are that many daemons.
        peers = ", ".join(f'"{self.peer_address(k)}"' for k in (0, 3, 6, 8) if k < self.count)
        settings = self.path / f"{daemon.name}.yaml"
        settings.write_text(
            f"daemon_id: {daemon.name}\ndata_centre: dc{daemon.centre}\n"
            f"region: r{daemon.region}\n"
            f'entry: {{listen: "{host}:{11000 + n}", threads: 4, refusal_threads: 1}}\n'
            f'admin: {{listen: "{daemon.admin}", threads: 2}}\n'
            f'peer: {{listen: "{self.peer_address(n)}", first_peers: [{peers}]}}\n'
            f'platform: {{address: "{PLATFORM}"}}\n'
        )
        environment = {}
        if CUT:
            environment = {
                "LD_PRELOAD": str(self.path / "cut_regions.so"),
                "CUT_FLAG": str(self.cut_flag),
                "CUT_REGION": str(daemon.region),
            }
        self.running[n] = self.start(
            daemon.name, "coltsfootvane", "serve", "--settings", str(settings),
            environment=environment,
        )

    def build_cut_library(self):
        subprocess.run(
            ["cc", "-shared", "-fPIC", "-O1", "-o", str(self.path / "cut_regions.so"),
             str(pathlib.Path(__file__).with_name("cut_regions.c")), "-ldl"],
            check=True,
        )

    def kill(self, numbers):
        for n in numbers:
            self.running[n].kill()
        for n in numbers:
            self.running.pop(n).wait()

    def check_running(self):
        """Ends the run with the log of a daemon that has exited by itself."""
        for n, process in self.running.items():
            if process.poll() is not None:
                log = (self.path / f"{self.daemons[n].name}.log").read_text()
                raise RuntimeError(f"daemon {n} exited with {process.returncode}:\n{log[-2000:]}")

    def wait_until(self, numbers, path, is_done, since=None):
        """Polls `path` of the daemons until `is_done(n, reply)`. Returns the seconds each took,
        in order; one that took longer than TIMEOUT_S has infinity."""
        since = since or time.time()
        waiting = list(numbers)
        times = []

        def poll(n):
            try:
                return is_done(n, get(self.daemons[n].admin, path)), time.time()
            except (OSError, ValueError):
                return False, time.time()

        while waiting and time.time() - since < TIMEOUT_S:
            round_start = time.time()
            replies = list(self.pool.map(poll, waiting))
            times += [at - since for done, at in replies if done]
            waiting = [n for n, (done, _) in zip(waiting, replies) if not done]
            self.longest_poll_s = max(self.longest_poll_s, time.time() - round_start)
            self.check_running()
            time.sleep(0.05)
        return sorted(times) + [float("inf")] * len(waiting)

    def sample(self):
        def read(n):
            process = self.running[n]
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
            rss_kb = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
            datagrams = get(self.daemons[n].admin, "/status")["peers"]["datagrams"]
            return {
                "cpu_s": (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
                "rss_mb": rss_kb / 1024,
                "bytes": datagrams["sent_bytes"] + datagrams["received_bytes"],
                "at": time.time(),
            }

        return dict(zip(self.running, self.pool.map(read, list(self.running))))


def states(reply):
    return {member["id"]: member["state"] for member in reply["peers"]["members"]}


def usable(reply):
    return sum(state in (ALIVE, SUSPECT) for state in states(reply).values())


def reset_calls():
    request = urllib.request.Request(f"http://{PLATFORM}/control/calls", method="DELETE")
    urllib.request.urlopen(request, timeout=5).read()


def peak_calls():
    calls = get(PLATFORM, "/control/calls")
    peak, limited = calls["peak_per_second"], calls["rate_limited"]
    return {
        "peak_reads_s": peak["reads"], "peak_writes_s": peak["writes"],
        "limited": limited["reads"] + limited["writes"],
    }


def split_calls(calls):
    reads = sum(
        count for verbs in calls["calls"].values() for verb, count in verbs.items()
        if verb in READ_VERBS
    )
    return reads, total_calls(calls) - reads


def spread(times):
    return {"median_s": round(statistics.median(times), 2), "last_s": round(times[-1], 2)}


def traffic(before, after):
    """Returns the KB/s of the daemons that ran all the time, and their processor share."""
    rows = [(before[n], after[n]) for n in before if n in after]
    rows = [(a, b, b["at"] - a["at"]) for a, b in rows if b["cpu_s"] >= a["cpu_s"]]
    kb_s = [(b["bytes"] - a["bytes"]) / s / 1000 for a, b, s in rows]
    core = [100 * (b["cpu_s"] - a["cpu_s"]) / s for a, b, s in rows]
    return {
        "kb_s": round(statistics.mean(kb_s), 2), "kb_s_max": round(max(kb_s), 2),
        "core%": round(statistics.mean(core), 2), "core%max": round(max(core), 2),
    }


def report(count, phase, values):
    line = " ".join(f"{name}={value}" for name, value in values.items())
    print(f"fleet={count} {phase}: {line} load={os.getloadavg()[0]:.1f}", flush=True)


def measure_start(fleet):
    reset_calls()
    start = time.time()
    for n in range(fleet.count):
        fleet.start_daemon(n)
    started = time.time() - start
    times = fleet.wait_until(
        range(fleet.count), "/status", lambda n, reply: usable(reply) == fleet.count, start
    )
    report(fleet.count, "start", {"spawn_s": round(started, 1), **spread(times), **peak_calls()})


def measure_settled(fleet):
    time.sleep(FLEET_SETTLE_S)
    reset_calls()
    before = fleet.sample()
    calls_before, start = get(PLATFORM, "/control/calls"), time.time()
    time.sleep(MEASURE_S)
    calls_after, seconds = get(PLATFORM, "/control/calls"), time.time() - start
    after = fleet.sample()
    (reads, writes) = (
        round((b - a) / seconds, 1)
        for a, b in zip(split_calls(calls_before), split_calls(calls_after))
    )
    rss = [row["rss_mb"] for row in after.values()]
    report(fleet.count, "settled", {
        **traffic(before, after), "rss_mb": round(statistics.mean(rss), 1),
        "rss_mb_max": round(max(rss), 1), "reads_s": reads, "writes_s": writes, **peak_calls(),
    })
    if os.environ.get("CALLS"):
        print(json.dumps(calls_after["calls"]), flush=True)


def measure_change(fleet, version, phase="change"):
    reset_calls()
    start = time.time()
    fleet.apply(version)
    applied = time.time() - start
    times = fleet.wait_until(
        fleet.running, "/config", lambda n, reply: reply["version"] == version, start
    )
    report(fleet.count, phase, {"apply_s": round(applied, 2), **spread(times), **peak_calls()})


def write_object(kind, name, spec, version):
    """Creates the object if `version` is empty, and returns its new version."""
    value = {"metadata": {"name": name}, "spec": spec}
    path = f"/apis/coltsfootvane/v1/{kind}"
    if version:
        value["metadata"]["resourceVersion"] = version
        path += f"/{name}"
    request = urllib.request.Request(
        f"http://{PLATFORM}{path}", json.dumps(value).encode(),
        {"Content-Type": "application/json"}, method="PUT" if version else "POST",
    )
    with urllib.request.urlopen(request, timeout=5) as reply:
        return json.load(reply)["metadata"]["resourceVersion"]


def measure_publishing(fleet):
    """Publishes as 4 regions would, each once a second and at different times."""
    versions = {f"other{n}": "" for n in range(4)}
    for name in versions:
        versions[name] = write_object("placements", name, {"endpoints": []}, "")
    time.sleep(2)
    reset_calls()
    before, calls_before, start = fleet.sample(), get(PLATFORM, "/control/calls"), time.time()
    for n in range(4 * PUBLISH_S):
        time.sleep(max(0, start + n / 4 - time.time()))
        name = f"other{n % 4}"
        placement = {"endpoints": [{"id": "e", "leaving": False, "ready": [f"m{n}"]}]}
        versions[name] = write_object("placements", name, placement, versions[name])
    calls_after, seconds = get(PLATFORM, "/control/calls"), time.time() - start
    reads = split_calls(calls_after)[0] - split_calls(calls_before)[0]
    report(fleet.count, "publishing", {
        "reads_s": round(reads / seconds, 1), **traffic(before, fleet.sample()), **peak_calls(),
    })


def measure_loss(fleet, lost, phase):
    names = {fleet.daemons[n].name for n in lost}
    others = [n for n in range(fleet.count) if n not in lost]
    before = fleet.sample()
    start = time.time()
    fleet.kill(lost)
    unusable = fleet.wait_until(
        others, "/status",
        lambda n, reply: all(states(reply).get(name, DEAD) == DEAD for name in names), start,
    )
    report(fleet.count, f"{phase} lost", {**spread(unusable), **traffic(before, fleet.sample())})
    reset_calls()
    before = fleet.sample()
    start = time.time()
    for n in lost:
        fleet.start_daemon(n)
    times = fleet.wait_until(
        range(fleet.count), "/status", lambda n, reply: usable(reply) == fleet.count, start
    )
    report(fleet.count, f"{phase} restarted",
           {**spread(times), **traffic(before, fleet.sample()), **peak_calls()})


def measure_cut(fleet, version):
    """Cuts all regions apart, changes the configuration, and heals."""
    size = collections.Counter(daemon.region for daemon in fleet.daemons)
    start = time.time()
    fleet.cut_flag.touch()
    times = fleet.wait_until(
        range(fleet.count), "/status",
        lambda n, reply: usable(reply) == size[fleet.daemons[n].region], start,
    )
    report(fleet.count, "cut", spread(times))
    measure_change(fleet, version, "change while cut")
    time.sleep(max(0, CUT_S - (time.time() - start)))
    ready = fleet.wait_until(range(fleet.count), "/health", lambda n, reply: True)
    reset_calls()
    before = fleet.sample()
    start = time.time()
    fleet.cut_flag.unlink()
    times = fleet.wait_until(
        range(fleet.count), "/status", lambda n, reply: usable(reply) == fleet.count, start
    )
    report(fleet.count, "healed", {
        **spread(times), "ready": sum(one < TIMEOUT_S for one in ready),
        **traffic(before, fleet.sample()), **peak_calls(),
    })


def count_threads():
    return sum(1 for _ in pathlib.Path("/proc").glob("[0-9]*/task/*"))


def measure_fleet(count):
    needed = count * (THREADS_PER_DAEMON + 4)
    if count_threads() + needed > MAX_THREADS:
        raise SystemExit(f"fleet={count} needs {needed} threads: too many on this machine now")
    fleet = Fleet(count)
    try:
        if CUT:
            fleet.build_cut_library()
        fleet.start_platform()
        fleet.apply(1)
        measure_start(fleet)
        measure_settled(fleet)
        for version in range(2, 2 + CHANGES):
            measure_change(fleet, version)
        measure_publishing(fleet)
        measure_loss(fleet, [count - 1], "daemon")
        centre = [n for n in range(count) if fleet.daemons[n].centre == LOST_CENTRE]
        measure_loss(fleet, centre, "data centre")
        if CUT:
            measure_cut(fleet, 2 + CHANGES)
        print(f"fleet={count} poll_s={fleet.longest_poll_s:.2f}", flush=True)
    finally:
        fleet.stop()
