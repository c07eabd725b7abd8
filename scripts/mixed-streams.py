#!/usr/bin/env python3
"""Counts the items that the logs of nodes show at two versions of software.

Usage: scripts/mixed-streams.py LOG...

LOG is the output of `fleetbench run ... --log all`: each line has a time in
seconds, a node and a JSON log line. An item is mixed if a run continued its
events at a sampler whose software has another version than that of the run
that began them. Exits with 1 if there is one.
"""

import json
import re
import sys


EVENTS = ("item_run_started", "item_run_ended", "item_restarted")


def read_runs(path):
    """Returns the starts and ends of runs in order of time."""
    runs = []
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = re.match(r"\s*(-?[\d.]+) \S+ (\{.*\})\s*$", line)
            if match:
                entry = json.loads(match.group(2))
                if entry["event"] in EVENTS:
                    runs.append((float(match.group(1)), entry))
    return sorted(runs, key=lambda run: run[0])


def main():
    failed = False
    for path in sys.argv[1:]:
        began = {}
        continued = 0
        mixed = {}
        for time, run in read_runs(path):
            item = run["item"]
            if run["event"] != "item_run_started":
                # The item begins anew. The line of its next run may be among
                # those that are dropped when a node writes too many.
                if run["event"] == "item_restarted" or int(run["events"]) == 0:
                    began.pop(item, None)
                continue
            if int(run["events"]) == 0 or item not in began:
                began[item] = run["software"]
                continue
            continued += 1
            if run["software"] != began[item]:
                mixed.setdefault(item, (time, began[item], run["software"]))
        for item, (time, first, second) in list(mixed.items())[:5]:
            print(f"{time:.2f} s: {item} began at {first}, went on at {second}")
        print(f"{path}: {continued} continued runs, {len(mixed)} mixed items")
        failed = failed or bool(mixed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
