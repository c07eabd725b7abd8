#!/usr/bin/env bash
# Measures the latency and CPU time that an entry adds to a call: starts a fake
# service, a fake platform, one control and one entry process on 127.0.0.1 and
# alternates fixed numbers of direct calls and of calls through an open and a
# keyed route. Prints a Markdown table. Variables: CALLS per run, ROUNDS, THREADS
# (list of numbers of concurrent callers), BUILD_DIR. Needs built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/bin
calls=${CALLS:-3000}
rounds=${ROUNDS:-5}
threads=${THREADS:-1 8}
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
fail() {
  printf 'FAILED: %s\n' "$*" >&2
  tail -n 5 "$work"/*.err >&2
  exit 1
}

# field FILE NAME: prints a field of the JSON object on the first line of a file.
field() {
  python3 -c 'import json,sys; print(json.loads(open(sys.argv[1]).readline())[sys.argv[2]])' "$1" "$2"
}
put() {
  python3 - "$@" <<'PYTHON'
import sys, urllib.request
urllib.request.urlopen(
    urllib.request.Request("http://" + sys.argv[1], data=sys.argv[2].encode(), method="PUT"), timeout=30).read()
PYTHON
}
# start NAME PROGRAM ARGUMENTS: starts a process and waits for its ready line.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  for _ in $(seq 300); do
    [ -s "$work/$name.out" ] && return 0
    kill -0 $! 2>/dev/null || fail "$name exited before it was ready"
    sleep 0.1
  done
  fail "timed out waiting for $name to become ready"
}
address() { field "$work/$1.out" address; }

start service fake-service
start platform fake-platform
platform=$(address platform)
service=$(address service)
# Keeps the platform from starting targets other than the measured one.
put "$platform/admin/available" '{"zone":"z1","pool":"protected","count":0}'
put "$platform/admin/targets" "{\"targets\":[{\"id\":\"desk-1\",\"zone\":\"z1\",\"pool\":\"protected\",
  \"class\":\"desk\",\"kind\":\"service\",\"address\":\"$service\",\"slots\":64,\"state\":\"live\",
  \"checks_fencing\":false}]}"
cat >"$work/control.json" <<JSON
{ "vm": "z1-vm1", "zone": "z1", "environment": "shop", "listen": "127.0.0.1:0", "platform": "$platform" }
JSON
start control arbutusferry-control --settings="$work/control.json"
cat >"$work/entry.json" <<JSON
{ "vm": "z1-vm1", "zone": "z1", "environment": "shop", "listen": "127.0.0.1:0", "control": ["$(address control)"] }
JSON
start entry arbutusferry-entry --settings="$work/entry.json"
entry_pid=${pids[-1]}
entry=$(address entry)
put "$platform/admin/vms" "{\"vms\":[{\"id\":\"z1-vm1\",\"zone\":\"z1\",\"entry_address\":\"$entry\",
  \"control_address\":\"$(address control)\",\"state\":\"live\"}]}"
cat >"$work/shop.json" <<'JSON'
{
  "environment": "shop",
  "tenants": [ { "name": "acme", "share": 1 } ],
  "models": [],
  "routes": [
    { "name": "hours", "kind": "service", "path": "/hours", "target_class": "desk", "access": "open",
      "tenants": [], "idempotent": true, "deadline_ms": 10000 },
    { "name": "quotes", "kind": "service", "path": "/quotes", "target_class": "desk", "access": "keyed",
      "tenants": [], "idempotent": true, "deadline_ms": 10000 }
  ],
  "targets": [ { "class": "desk", "zones": [ { "zone": "z1", "min_protected": 1, "max": 1, "max_reclaimable": 0 } ] } ],
  "usage": { "window_s": 3600, "grace_s": 30 },
  "isolation": { "key_grace_s": 0 }
}
JSON
client() { "$bin/arbutusferry" --control="$(address control)" --json "$@"; }
client apply "$work/shop.json" --stage=production --base=current >"$work/apply.out" || fail "apply"
client grant shop acme --stage=production >"$work/key.json" || fail "grant"
key=$(field "$work/key.json" key)

# load KIND THREADS CALLS: runs the calls and prints the result.
load() {
  local options=(--entries="$entry" --path=/hours)
  case $1 in
    direct) options=(--entries="$service" --path=/hours) ;;
    keyed) options=(--entries="$entry" --path=/quotes --key="$key") ;;
  esac
  "$bin/load-generator" --mode=calls --threads="$2" --calls="$3" "${options[@]}"
}
# Waits until each route answers a call.
for kind in open keyed; do
  for try in $(seq 300); do
    load "$kind" 1 1 >/dev/null && break
    [ "$try" -lt 300 ] || fail "timed out waiting for the $kind route to answer"
    sleep 0.1
  done
done
# Prints the user and system time of the entry process in clock ticks.
entry_ticks() { awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/$entry_pid/stat"; }

load_before=$(cut -d' ' -f1-3 /proc/loadavg)
# Round 0 warms up connections and caches and is not counted.
for count in $threads; do
  for round in $(seq 0 "$rounds"); do
    for kind in direct open keyed; do
      before=$(entry_ticks)
      result=$(load "$kind" "$count" "$calls") || fail "calls $kind: $result"
      after=$(entry_ticks)
      [ "$round" -eq 0 ] || printf '%s\t%s\t%s\t%s\n' "$count" "$kind" "$((after - before))" "$result" >>"$work/runs"
    done
  done
done
echo "load average before: $load_before; after: $(cut -d' ' -f1-3 /proc/loadavg)"
echo
python3 - "$work/runs" "$calls" "$(getconf CLK_TCK)" <<'PYTHON'
import json, statistics, sys

runs, calls, hertz = {}, int(sys.argv[2]), int(sys.argv[3])
for line in open(sys.argv[1]):
    threads, kind, ticks, result = line.rstrip("\n").split("\t")
    value = json.loads(result)
    runs.setdefault(int(threads), {}).setdefault(kind, []).append(
        (value["latency_ms"]["p50"], value["latency_ms"]["p99"], value["answered_per_s"], int(ticks)))
header = ["callers", "path", "p50 ms (range)", "ratio", "p99 ms (range)", "ratio", "requests/s (range)", "ratio"]
header.append("entry CPU us/request")
print("| " + " | ".join(header) + " |")
print("|---" * len(header) + "|")
for threads, kinds in runs.items():
    base = [statistics.median(column) for column in zip(*kinds["direct"])]
    for kind, rows in kinds.items():
        columns = list(zip(*rows))
        cells = [str(threads), kind]
        for index, form in enumerate(("%.3f", "%.3f", "%.0f")):
            median = statistics.median(columns[index])
            cells.append((form + " (" + form + "-" + form + ")") % (median, min(columns[index]), max(columns[index])))
            cells.append("%.2f" % (median / base[index]))
        cpu = sum(columns[3]) / hertz / (len(rows) * calls) * 1e6
        cells.append("-" if kind == "direct" else "%.0f" % cpu)
        print("| " + " | ".join(cells) + " |")
PYTHON
