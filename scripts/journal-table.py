#!/usr/bin/env python3
"""Prints the scores in the benchmark journal as one Markdown table per site.

Usage: scripts/journal-table.py [DIRECTORY]
"""

import glob
import json
import os
import sys


def read_scores(directory):
    """Returns the score entries by site, oldest first."""
    sites = {}
    for path in sorted(glob.glob(os.path.join(directory, "*.json"))):
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "score" and entry.get("days"):
            sites.setdefault(entry["site"], []).append((path, entry))
    return sites


def format_day(day):
    """Returns the score of a day, with its violated rules and faults."""
    text = f"{day['G']:.3f}"
    violations = list(day.get("rules") or {})
    if day.get("fault"):
        violations.append("fault")
    return text + (f" ({', '.join(violations)})" if violations else "")


def print_site(site, entries):
    names = []
    for _, entry in entries:
        for day in entry["days"]:
            name = day["name"] if not day["name"].startswith("fresh") else "fresh"
            if name not in names:
                names.append(name)
    print(f"\n### {site}\n")
    print("| entry | commit | score | " + " | ".join(names) + " | why |")
    print("|---" * (len(names) + 4) + "|")
    for path, entry in entries:
        days = {
            "fresh" if day["name"].startswith("fresh") else day["name"]: format_day(day)
            for day in entry["days"]
        }
        head = (entry.get("head") or "")[:7] + ("+" if entry.get("dirty") else "")
        label = os.path.basename(path)[:-5].split("-")[-1]
        score = entry.get("score")
        cells = [label, head, "" if score is None else f"{score:.3f}"]
        cells += [days.get(name, "") for name in names]
        print("| " + " | ".join(cells) + f" | {entry.get('why') or ''} |")


def main():
    directory = sys.argv[1] if len(sys.argv) > 1 else "journal"
    sites = read_scores(directory)
    if not sites:
        sys.exit(f"{directory}: no scores")
    for site, entries in sites.items():
        print_site(site, entries)


if __name__ == "__main__":
    main()
