#!/usr/bin/env python3
"""Measures CPU, memory and network use of the control processes of one zone.

Starts fake-platform, fake-engine and control processes on 127.0.0.1, simulates
the node.sync of one entry per node, and prints one table row for the relay and
one for the mean of the other nodes. Needs /proc and the program ss.
"""

import argparse
import http.client
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import threading
import time

TEAM_COUNT = 8
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def call(address, method, path, body):
    """Sends one JSON request on a new connection and returns the JSON response."""
    connection = http.client.HTTPConnection(address, timeout=20)
    try:
        connection.request(method, path, json.dumps(body), {"Content-Type": "application/json"})
        response = connection.getresponse()
        data = response.read()
        if response.status != 200:
            raise RuntimeError(f"{method} {path}: status {response.status}")
        return json.loads(data) if data else {}
    finally:
        connection.close()


def rpc(address, method, params):
    answer = call(address, "POST", "/rpc", {"jsonrpc": "2.0", "id": 1, "method": method, "params": params})
    if "error" in answer:
        raise RuntimeError(f"{method}: {answer['error']}")
    return answer["result"]


def make_document(targets):
    tenants = [f"t{i}" for i in range(TEAM_COUNT)]
    zone = {"zone": "a", "min_protected": targets, "max": targets, "max_reclaimable": 0}
    return {
        "environment": "trust",
        "tenants": [{"name": name, "share": 1} for name in tenants],
        "models": [{"name": "m", "target_class": "s", "min_version": 0, "staleness_bound": 2}],
        "routes": [{"name": "r", "kind": "completions", "model": "m", "target_class": "s", "access": "keyed",
                    "tenants": tenants, "idempotent": True, "deadline_ms": 1000}],
        "targets": [{"class": "s", "zones": [zone]}],
        "usage": {"window_s": 3600, "grace_s": 1},
        "isolation": {"key_grace_s": 0},
    }


class Entry(threading.Thread):
    """Simulates the node.sync calls of one entry on a persistent connection."""

    def __init__(self, index, control, stop):
        super().__init__(daemon=True)
        self.index, self.control, self.stopped = index, control, stop
        self.local_addresses = set()  # "IP:port" of its connections, which are peers of the control process
        self.failures = self.grants = self.max_age = 0

    def run(self):
        connection = None
        state = {"offset": -1, "grant_round": -1, "view": ""}
        count = 0
        while not self.stopped.is_set():
            count += 1
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(self.control, timeout=10)
                    connection.connect()
                    self.local_addresses.add("%s:%d" % connection.sock.getsockname())
                connection.request("POST", "/rpc", self.body(state, count), {"Content-Type": "application/json"})
                result = json.loads(connection.getresponse().read())["result"]
                state = {"offset": result["offset"], "grant_round": result.get("grant_round", -1),
                         "view": result.get("view", "")}
                self.grants += bool(result["has_grants"])
                self.max_age = max(self.max_age, result["view_age_ms"])
            except (OSError, http.client.HTTPException, KeyError, ValueError):
                self.failures += 1
                if connection is not None:
                    connection.close()
                connection = None
                self.stopped.wait(0.5)

    def body(self, state, count):
        instance = f"e-a{self.index}"
        window = int(time.time()) // 3600 * 3600
        params = {
            "entry": {"instance": instance, "zone": "a", "address": f"127.0.0.1:{6000 + self.index}"},
            "hold_ms": 500,
            "demand": [{"tenant": f"t{k}", "target_class": "s", "waiting": (count + k) % 5, "running": 2,
                        "attained_tokens": 100.0 * count} for k in range(TEAM_COUNT)],
            "usage": [{"tenant": f"t{k}", "window": window, "instance": instance, "requests": count,
                       "prompt_tokens": 10 * count, "generated_tokens": 20 * count} for k in range(TEAM_COUNT)],
            "in_flight": {f"x{k}": 1 for k in range(10)},
            **state,
        }
        return json.dumps({"jsonrpc": "2.0", "id": 1, "method": "node.sync", "params": params})


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_kb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1))


def socket_bytes():
    """Returns payload bytes, sent and received, by (pid, local, peer) of open connections."""
    lines = subprocess.run(["ss", "-tinHp"], capture_output=True, text=True, check=True, timeout=30).stdout.splitlines()
    found = {}
    for head, info in zip(lines, lines[1:]):
        owner = re.search(r"pid=(\d+)", head)
        if owner is None or not info[:1].isspace():
            continue
        fields = head.split()
        total = sum(int(n) for n in re.findall(r"\bbytes_(?:sent|received):(\d+)", info))
        found[int(owner.group(1)), fields[3], fields[4]] = total
    return found


class Processes:
    """Starts child processes and stops each of them by its pid."""

    def __init__(self, programs, directory):
        self.programs, self.directory, self.children = programs, directory, []

    def start(self, program, *arguments, ready=True):
        errors = open(self.directory / f"{program}.err", "a", encoding="utf-8")
        child = subprocess.Popen([self.programs / program, *arguments], text=True, stderr=errors,
                                 stdout=subprocess.PIPE if ready else subprocess.DEVNULL)
        errors.close()
        self.children.append(child)
        return child, json.loads(child.stdout.readline())["address"] if ready else None

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                child.terminate()
        for child in self.children:
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def measure(options, processes, directory):
    _, platform = processes.start("fake-platform", "--listen", "127.0.0.1:0")
    _, engine = processes.start("fake-engine", "--listen", "127.0.0.1:0")
    controls = [f"127.0.0.1:{options.port + i}" for i in range(options.nodes)]
    call(platform, "PUT", "/admin/vms", {"vms": [
        {"id": f"a{i}", "zone": "a", "entry_address": f"127.0.0.1:{6000 + i}", "control_address": address,
         "state": "live"} for i, address in enumerate(controls)]})
    call(platform, "PUT", "/admin/targets", {"targets": [
        {"id": f"x{i}", "zone": "a", "pool": "protected", "class": "s", "kind": "engine", "address": engine,
         "slots": 8, "state": "live", "checks_fencing": True} for i in range(options.targets)]})
    pids = {}
    for i, address in enumerate(controls):
        settings = directory / f"a{i}.json"
        settings.write_text(json.dumps({"vm": f"a{i}", "zone": "a", "environment": "trust", "listen": address,
                                        "platform": platform}), encoding="utf-8")
        child, _ = processes.start("arbutusferry-control", "--settings", str(settings), ready=False)
        pids[f"a{i}"] = child.pid
    time.sleep(3)
    rpc(controls[0], "operator.apply",
        {"record_id": "r1", "stage": "production", "base": -1, "document": make_document(options.targets)})
    stop = threading.Event()
    entries = [Entry(i, address, stop) for i, address in enumerate(controls)]
    for entry in entries:
        entry.start()
    time.sleep(options.warmup)
    relay = rpc(controls[0], "operator.status", {})["relay"]
    for entry in entries:
        entry.max_age = 0
    bytes0, cpu0, begin = socket_bytes(), {vm: cpu_seconds(pid) for vm, pid in pids.items()}, time.monotonic()
    time.sleep(options.seconds)
    bytes1, cpu1, seconds = socket_bytes(), {vm: cpu_seconds(pid) for vm, pid in pids.items()}, time.monotonic() - begin
    relay_after = rpc(controls[0], "operator.status", {})["relay"]
    stop.set()

    def row(label, vms):
        non_entry = loopback = platform_bytes = engine_bytes = 0
        entry_by_pid = {pids[vm]: entries[int(vm[1:])] for vm in vms}
        for key, total in bytes1.items():
            pid, _, peer = key
            if pid not in entry_by_pid:
                continue
            increase = total - bytes0.get(key, 0)
            if peer in entry_by_pid[pid].local_addresses:
                loopback += increase
            else:
                non_entry += increase
                platform_bytes += increase if peer == platform else 0
                engine_bytes += increase if peer == engine else 0
        scale = 1000 * seconds * len(vms)
        cpu = 100 * sum(cpu1[vm] - cpu0[vm] for vm in vms) / seconds / len(vms)
        memory = sum(memory_kb(pids[vm]) for vm in vms) * 1.024 / 1000 / len(vms)
        print(f"| {options.label} | {options.nodes} | {options.targets} | {label} | {cpu:.2f} | {memory:.1f} "
              f"| {loopback / scale:.2f} | {non_entry / scale:.2f} | {platform_bytes / scale:.2f} "
              f"| {engine_bytes / scale:.2f} |", flush=True)

    row("relay", [relay])
    others = [vm for vm in pids if vm != relay]
    if others:
        row("others", others)
    print(f"{seconds:.1f} s; grants {sum(e.grants for e in entries)}, failed syncs "
          f"{sum(e.failures for e in entries)}, oldest view {max(e.max_age for e in entries)} ms, "
          f"load average {os.getloadavg()[0]:.1f}", file=sys.stderr)
    if relay != relay_after:
        raise RuntimeError("the relay changed during the measurement")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", type=int, choices=range(1, 33), default=4, metavar="1..32")
    parser.add_argument("--targets", type=int, choices=range(1, 201), default=100, metavar="1..200")
    parser.add_argument("--seconds", type=int, choices=range(1, 301), default=20, metavar="1..300")
    parser.add_argument("--warmup", type=int, choices=range(1, 61), default=12, metavar="1..60")
    parser.add_argument("--port", type=int, default=25000, help="first port of the control processes")
    parser.add_argument("--label", default="", help="text of the first column")
    parser.add_argument("--programs", type=pathlib.Path, help="directory of the programs",
                        default=pathlib.Path(__file__).resolve().parent.parent / "build" / "bin")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="arbutusferry-measure-") as name:
        processes = Processes(options.programs, pathlib.Path(name))
        try:
            measure(options, processes, pathlib.Path(name))
        finally:
            processes.stop()


if __name__ == "__main__":
    main()
