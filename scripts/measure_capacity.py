#!/usr/bin/env python3
"""Measures the control cost of a daemon against the number of daemons, endpoints, models and
requests. Starts stand-ins and idle or lightly loaded daemons on loopback, and prints one line
per point: processor time, resident memory, datagram bytes and platform calls per daemon.

Usage: scripts/measure_capacity.py daemons 3 13 40
       scripts/measure_capacity.py endpoints 10 100 400    (declared, not running)
       scripts/measure_capacity.py models 20 100 330       (declared on engines not running)
       scripts/measure_capacity.py requests 0 20 50
       scripts/measure_capacity.py fleet 40 100            (4 regions, see tests/fleet/measure_fleet.py)

SETTLE_S and MEASURE_S set the times in seconds; CALLS=1 prints platform calls by kind; BUILD_DIR
names another folder of programs.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
HOST = os.environ.get("HOST", "127.0.77.1")
PLATFORM = f"{HOST}:9300"
SETTLE_S = int(os.environ.get("SETTLE_S", "12"))
MEASURE_S = int(os.environ.get("MEASURE_S", "20"))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
        return json.load(reply)


class Deployment:
    """Processes of one measured point; ended by id."""

    def __init__(self, daemons, endpoints, models):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.daemons = []
        self.count = daemons
        self.endpoints = endpoints
        self.models = models

    def start(self, *arguments):
        log = open(pathlib.Path(self.folder.name) / f"{len(self.processes)}.log", "wb")
        process = subprocess.Popen(
            [str(BUILD / arguments[0]), *arguments[1:]], stdout=log, stderr=log
        )
        self.processes.append(process)
        return process

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    def write_configuration(self):
        folder = pathlib.Path(self.folder.name) / "configuration"
        folder.mkdir()
        lines = ["data_centres:", "  - {name: dc1, region: r1}", "  - {name: dc2, region: r2}"]
        lines += ["endpoints:"]
        for n in range(self.endpoints):
            running = n < 2
            address = f"{HOST}:{9101 + n}" if running else f"127.0.78.1:{10000 + n}"
            # Endpoints that do not run are in a region whose planner does not run.
            centre = "dc1" if running else "dc2"
            lines.append(
                f"  - {{id: engine-{n}, kind: engine, data_centre: {centre}, "
                f'address: "{address}", memory_mb: 400000, checks_fencing: true, slots: 8}}'
            )
        lines += ["models:"]
        for n in range(self.models):
            lines.append(f'  - {{name: model-{n}, version: "1", memory_mb: 500}}')
        lines += ["weight_store:", "  loads_per_s: 100", "  loads_at_once: 50"]
        lines += ["  adapter_load_ms: 10", "  adapter_loads_in_flight: 48", "survival_goal: vm"]
        lines += ["routes:", "  - {path_prefix: /v1/, kind: engine, priority: interactive}"]
        (folder / "configuration.yaml").write_text("\n".join(lines) + "\n")
        return folder

    def start_all(self):
        self.start("platform_standin", "--listen", PLATFORM, "--threads", str(64 + 4 * self.count))
        for n in range(2):
            self.start(
                "engine_standin", "--id", f"engine-{n}", "--listen", f"{HOST}:{9101 + n}",
                "--memory-mb", "400000", "--load-ms", "20", "--checks-fencing",
            )
        time.sleep(1)
        folder = self.write_configuration()
        subprocess.run(
            [str(BUILD / "coltsfootvane"), "apply", str(folder), "--platform", PLATFORM],
            check=True, stdout=subprocess.DEVNULL,
        )
        for n in range(self.count):
            self.start_daemon(n)
        time.sleep(SETTLE_S)

    def start_daemon(self, n):
        peers = ", ".join(f'"{HOST}:{12000 + k}"' for k in range(min(3, self.count)))
        path = pathlib.Path(self.folder.name) / f"daemon-{n}.yaml"
        path.write_text(
            f"daemon_id: entry-{n}\ndata_centre: dc1\nregion: r1\n"
            f'entry: {{listen: "{HOST}:{11000 + n}", threads: 32, refusal_threads: 8}}\n'
            f'admin: {{listen: "{HOST}:{11500 + n}"}}\n'
            f'peer: {{listen: "{HOST}:{12000 + n}", first_peers: [{peers}]}}\n'
            f'platform: {{address: "{PLATFORM}"}}\n'
        )
        process = self.start("coltsfootvane", "serve", "--settings", str(path))
        self.daemons.append((process, f"{HOST}:{11500 + n}", f"{HOST}:{11000 + n}"))

    def sample(self):
        rows = []
        for process, admin, _ in self.daemons:
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            rss_kb = next(
                int(line.split()[1])
                for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
                if line.startswith("VmRSS")
            )
            status = get(admin, "/status")
            datagrams = status["peers"]["datagrams"]
            rows.append(
                {
                    "cpu_s": (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
                    "rss_mb": rss_kb / 1024,
                    "bytes": datagrams["sent_bytes"] + datagrams["received_bytes"],
                    "planner": status["planner"],
                }
            )
        calls = get(PLATFORM, "/control/calls")
        return time.time(), rows, calls


def request_load(deployment, rate, seconds):
    """Sends `rate` short completions a second, spread over the daemons."""
    if rate == 0:
        time.sleep(seconds)
        return
    body = json.dumps(
        {"model": "model-0", "messages": [{"role": "user", "content": "x"}], "max_tokens": 1}
    ).encode()
    start = time.time()
    for n in range(int(rate * seconds)):
        wait = start + n / rate - time.time()
        if wait > 0:
            time.sleep(wait)
        entry = deployment.daemons[n % len(deployment.daemons)][2]
        request = urllib.request.Request(f"http://{entry}/v1/chat/completions", data=body)
        urllib.request.urlopen(request, timeout=10).read()


def total_calls(calls):
    return sum(count for verbs in calls["calls"].values() for count in verbs.values())


def calls_per_kind(before, after, seconds):
    """Returns calls a second by `kind verb`."""
    rates = {}
    for kind, verbs in after["calls"].items():
        for verb, count in verbs.items():
            earlier = before["calls"].get(kind, {}).get(verb, 0)
            rates[f"{kind} {verb}"] = round((count - earlier) / seconds, 2)
    return rates


def measure(label, value, deployment, rate=0):
    try:
        deployment.start_all()
        start, before, calls_before = deployment.sample()
        request_load(deployment, rate, MEASURE_S)
        end, after, calls_after = deployment.sample()
        seconds = end - start
        cpu = [100 * (b["cpu_s"] - a["cpu_s"]) / seconds for a, b in zip(before, after)]
        planner = [c for c, row in zip(cpu, after) if row["planner"]]
        others = [c for c, row in zip(cpu, after) if not row["planner"]] or cpu
        rate_bytes = [(b["bytes"] - a["bytes"]) / seconds / 1000 for a, b in zip(before, after)]
        memory = [row["rss_mb"] for row in after]
        calls = (total_calls(calls_after) - total_calls(calls_before)) / seconds
        if os.environ.get("CALLS"):
            print(json.dumps(calls_per_kind(calls_before, calls_after, seconds)))
        print(
            f"{label}={value} core%={sum(others) / len(others):.2f} core%max={max(others):.2f} "
            f"core%planner={planner[0] if planner else float('nan'):.2f} "
            f"rss_mb={sum(memory) / len(memory):.1f} rss_mb_max={max(memory):.1f} "
            f"kb_s={sum(rate_bytes) / len(rate_bytes):.2f} kb_s_max={max(rate_bytes):.2f} "
            f"platform_calls_s={calls:.1f} load={os.getloadavg()[0]:.1f}",
            flush=True,
        )
    finally:
        deployment.stop()


def main():
    dimension, values = sys.argv[1], [int(value) for value in sys.argv[2:]]
    for value in values:
        if dimension == "daemons":
            measure(dimension, value, Deployment(value, 2, 20))
        elif dimension == "endpoints":
            measure(dimension, value, Deployment(4, value, 20))
        elif dimension == "models":
            measure(dimension, value, Deployment(4, 2, value))
        elif dimension == "requests":
            measure(dimension, value, Deployment(4, 2, 20), rate=value)
        elif dimension == "fleet":
            sys.path.append(str(pathlib.Path(__file__).parent.parent / "tests" / "fleet"))
            from measure_fleet import measure_fleet  # It imports this file.

            measure_fleet(value)
        else:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
