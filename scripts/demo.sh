#!/usr/bin/env bash
# Demonstration: builds the project, starts fake servers and the daemons of three
# zones, applies a document, serves calls and a step, withdraws a key, drains a
# target, prints the usage report and stops all processes. Exits with 1 on failure.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ "${SKIP_BUILD:-0}" != 1 ]; then
  scripts/install-dependencies.sh
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  cmake --build "$build"
fi
bin="$build/bin"
work=$(mktemp -d)
pids=()
names=()
zones=(z1 z2 z3)

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

print_step() { printf '\n== %s\n' "$*"; }
fail() {
  printf 'FAILED: %s\n' "$*" >&2
  for log in "$work"/*.err; do
    printf -- '--- %s\n' "$log" >&2
    tail -n 5 "$log" >&2
  done
  exit 1
}

# field FILE NAME: prints a field of the JSON object on the first line of a file.
field() {
  python3 -c 'import json,sys; print(json.loads(open(sys.argv[1]).readline())[sys.argv[2]])' "$1" "$2"
}

# http METHOD URL [BODY [KEY]]: sends a request; prints status, outcome and body.
http() {
  python3 - "$@" <<'PYTHON'
import sys, urllib.request, urllib.error
method, url = sys.argv[1], sys.argv[2]
body = sys.argv[3].encode() if len(sys.argv) > 3 and sys.argv[3] else None
request = urllib.request.Request("http://" + url, data=body, method=method)
if len(sys.argv) > 4 and sys.argv[4]:
    request.add_header("Authorization", "Bearer " + sys.argv[4])
try:
    answer = urllib.request.urlopen(request, timeout=30)
except urllib.error.HTTPError as error:
    answer = error
print(answer.status, answer.headers.get("Arbutusferry-Outcome"), answer.read().decode())
PYTHON
}

# start NAME PROGRAM ARGUMENTS: starts a process and waits for its ready line.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  names+=("$name")
  for _ in $(seq 300); do
    [ -s "$work/$name.out" ] && return 0
    kill -0 $! 2>/dev/null || fail "$name exited before it was ready"
    sleep 0.1
  done
  fail "timed out waiting for $name to become ready"
}
address() { field "$work/$1.out" address; }

# wait_until TEXT COMMAND: retries a command until it succeeds, for at least 30 s.
wait_until() {
  local text=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "timed out waiting until $text"
}

print_step "platform, engines and services"
start platform fake-platform
platform=$(address platform)
http PUT "$platform/admin/classes" '{"classes":[
  {"class":"sampler","kind":"engine","slots":8,"tokens_per_s":400},
  {"class":"desk","kind":"service","slots":8}]}' >/dev/null
targets=""
for zone in "${zones[@]}"; do
  start "engine-$zone" fake-engine --tokens_per_s=400
  start "service-$zone" fake-service
  targets+="${targets:+,}{\"id\":\"engine-$zone\",\"zone\":\"$zone\",\"pool\":\"protected\",\"class\":\"sampler\",
    \"kind\":\"engine\",\"address\":\"$(address "engine-$zone")\",\"slots\":8,\"state\":\"live\",\"checks_fencing\":true},
    {\"id\":\"service-$zone\",\"zone\":\"$zone\",\"pool\":\"protected\",\"class\":\"desk\",
    \"kind\":\"service\",\"address\":\"$(address "service-$zone")\",\"slots\":8,\"state\":\"live\",\"checks_fencing\":false}"
done
http PUT "$platform/admin/targets" "{\"targets\":[$targets]}" >/dev/null

print_step "three zones of daemons"
vms=""
for zone in "${zones[@]}"; do
  cat >"$work/control-$zone.json" <<JSON
{ "vm": "$zone-vm1", "zone": "$zone", "environment": "shop",
  "listen": "127.0.0.1:0", "platform": "$platform" }
JSON
  "$bin/arbutusferry-control" --settings="$work/control-$zone.json" --check >/dev/null
  start "control-$zone" arbutusferry-control --settings="$work/control-$zone.json"
  cat >"$work/entry-$zone.json" <<JSON
{ "vm": "$zone-vm1", "zone": "$zone", "environment": "shop",
  "listen": "127.0.0.1:0", "control": ["$(address "control-$zone")"] }
JSON
  "$bin/arbutusferry-entry" --settings="$work/entry-$zone.json" --check >/dev/null
  start "entry-$zone" arbutusferry-entry --settings="$work/entry-$zone.json"
  vms+="${vms:+,}{\"id\":\"$zone-vm1\",\"zone\":\"$zone\",\"entry_address\":\"$(address "entry-$zone")\",
    \"control_address\":\"$(address "control-$zone")\",\"state\":\"live\"}"
done
http PUT "$platform/admin/vms" "{\"vms\":[$vms]}" >/dev/null
controls=$(address control-z1),$(address control-z2),$(address control-z3)
entries=$(address entry-z1),$(address entry-z2),$(address entry-z3)
client() { "$bin/arbutusferry" --control="$controls" "$@"; }

print_step "the operator applies a document to trial and promotes it"
client check examples/shop.json
client apply examples/shop.json --stage=trial --base=current
client promote shop --base=current

print_step "the operator grants keys"
client --json grant shop acme >"$work/acme.json"
client --json grant shop birch >"$work/birch.json"
acme=$(field "$work/acme.json" key)
birch=$(field "$work/birch.json" key)
for zone in "${zones[@]}"; do
  accepts_key() { [[ "$(http POST "$(address "entry-$zone")/quotes" probe "$1")" == 200* ]]; }
  wait_until "entry-$zone accepts the key of acme" accepts_key "$acme"
  wait_until "entry-$zone accepts the key of birch" accepts_key "$birch"
done
echo "every entry accepts the keys of acme and birch"

print_step "calls of a plain service, with permits for bookings"
"$bin/load-generator" --mode=calls --entries="$entries" --key="$birch" --calls=300 --seed=1 || fail "quotes"
"$bin/load-generator" --mode=bookings --path=/bookings --entries="$entries" --key="$birch" --calls=150 --seed=2 ||
  fail "bookings"

print_step "calls of the model engine"
"$bin/load-generator" --mode=completions --entries="$entries" --key="$birch" --calls=60 --threads=6 --seed=3 ||
  fail "completions"

print_step "one step of samples, with a weight version published during it"
"$bin/load-generator" --mode=step --entries="$entries" --key="$acme" --groups=12 --group_size=4 --max_tokens=1200 \
  --publish_at=10 --seed=4 || fail "step"

print_step "the operator withdraws the key of birch"
client withdraw shop "$(field "$work/birch.json" key_id)"
for zone in "${zones[@]}"; do
  rejects_key() { [[ "$(http POST "$(address "entry-$zone")/quotes" probe "$birch")" == "401 not_run"* ]]; }
  wait_until "entry-$zone rejects the key of birch" rejects_key
done
http POST "$(address entry-z2)/quotes" probe "$birch"

print_step "the operator drains the service of zone z1"
client drain target service-z1
request_count() { http GET "$(address service-z1)/admin/seen" | python3 -c \
  'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])'; }
service_is_drained() {
  local before after
  before=$(request_count)
  "$bin/load-generator" --mode=calls --entries="$entries" --key="$acme" --calls=60 >/dev/null || return 1
  after=$(request_count)
  [ "$before" = "$after" ]
}
wait_until "the drained target receives nothing" service_is_drained
echo "60 calls were answered and none went to service-z1"

print_step "usage report"
usage_is_reported() { http GET "$platform/history" | grep -q '"event":"usage"'; }
wait_until "a usage window is reported" usage_is_reported
client usage
http GET "$platform/history" | python3 -c '
import json, sys
history = json.loads(sys.stdin.read().split(" ", 2)[2])["history"]
seen = {}
for event in history:
    if event["event"] != "usage" or not event["content"]["accepted"]:
        continue
    content = event["content"]
    window = content["window"]
    if seen.setdefault(window, content["lines"]) != content["lines"]:
        sys.exit("conflicting usage reports for window %s" % window)
    print("window", window, json.dumps(content["lines"]))' || fail "usage report"

# print_events LOG: prints the five most frequent events of a log.
print_events() {
  { grep -oE '"event":"[a-z_]+"' "$1" || true; } | sort | uniq -c | sort -rn | head -n 5 | tr -s ' \n' ' '
  echo
}

print_step "requests and events by process"
client status
for zone in "${zones[@]}"; do
  printf 'engine-%s:  %s requests\n' "$zone" "$(http GET "$(address "engine-$zone")/admin/seen" | python3 -c \
    'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])')"
  printf 'service-%s: %s requests\n' "$zone" "$(http GET "$(address "service-$zone")/admin/seen" | python3 -c \
    'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])')"
done
for zone in "${zones[@]}"; do
  printf 'control-%s:' "$zone"
  print_events "$work/control-$zone.err"
  printf 'entry-%s:\n' "$zone"
  http GET "$(address "entry-$zone")/metrics" |
    sed -nE 's/^arbutusferry_calls_total\{class="([^"]*)",outcome="([^"]*)",tenant="([^"]*)"\} (.*)$/  \3 \1 \2 \4/p'
done
if grep -lF -e "${acme##*_}" -e "${birch##*_}" "$work"/*.err; then fail "a log contains a key"; fi

print_step "stopping all processes in reverse order of their start"
for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
  kill -TERM "${pids[$i]}"
  status=0
  wait "${pids[$i]}" || status=$?
  [ "$status" -eq 0 ] || fail "${names[$i]} exited with status $status"
done
pids=()
print_step "all steps succeeded"
