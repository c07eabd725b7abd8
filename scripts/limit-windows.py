#!/usr/bin/env python3
"""Counts the items that the logs of nodes show at targets with a limit.

Usage: scripts/limit-windows.py LOG...

LOG is the output of `fleetbench run ... --log all`: each line has a time in
seconds, a node and a JSON log line. For each target that named a limit, prints
the largest number of items sent in 4 s, from 3 s after the first naming on, if
that exceeds one and a half times what the limit allows, plus 5. All senders are
counted, also those that did not know the limit. Exits with 1 if there is one.
"""

import collections
import json
import re
import sys

WINDOW_S = 4
GRACE_S = 3


def read_log(path):
    """Returns the limits named and the times of items, both by target."""
    limits = collections.defaultdict(list)
    items = collections.defaultdict(list)
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = re.match(r"\s*(-?[\d.]+) \S+ (\{.*\})\s*$", line)
            if not match:
                continue
            entry = json.loads(match.group(2))
            time = float(match.group(1))
            if entry["event"] == "target_limit":
                limits[entry["target"]].append((time, float(entry["per_second"])))
            elif entry["event"] == "target_limit_ended":
                limits[entry["target"]].append((time, None))
            elif entry["event"] == "item_run_started":
                items[entry["target"]].append(time)
    return limits, items


def peak(times):
    """Returns the largest number of times within WINDOW_S."""
    return max(
        (sum(1 for other in times if at <= other <= at + WINDOW_S) for at in times),
        default=0,
    )


def main():
    failed = False
    for path in sys.argv[1:]:
        limits, items = read_log(path)
        worst = 0.0
        exceeded = 0
        for target, named in limits.items():
            rates = [rate for _, rate in named if rate is not None]
            ends = [time for time, rate in named if rate is None]
            start = named[0][0] + GRACE_S
            end = ends[-1] if ends else float("inf")
            count = peak([time for time in items[target] if start <= time <= end])
            allowed = 1.5 * WINDOW_S * max(rates) + 5
            worst = max(worst, count / allowed)
            if count > allowed:
                exceeded += 1
                print(f"{target}: {count} items in {WINDOW_S} s, {allowed:.1f} allowed")
        print(
            f"{path}: {len(limits)} targets with a limit, {exceeded} exceeded, "
            f"largest share of what is allowed {worst:.2f}"
        )
        failed = failed or exceeded > 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
