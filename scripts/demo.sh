#!/usr/bin/env bash
# Demonstration: builds, starts stand-ins and three zones of daemons, applies a
# document, serves calls and a step, withdraws a key, drains a target, prints
# the usage report and stops everything. Exits with 1 if something is wrong.
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

say() { printf '\n== %s\n' "$*"; }
fail() {
  printf 'FAILED: %s\n' "$*" >&2
  for log in "$work"/*.err; do
    printf -- '--- %s\n' "$log" >&2
    tail -n 5 "$log" >&2
  done
  exit 1
}

# field FILE NAME: a field of the JSON object on the first line of a file.
field() {
  python3 -c 'import json,sys; print(json.loads(open(sys.argv[1]).readline())[sys.argv[2]])' "$1" "$2"
}

# http METHOD URL [BODY [KEY]]: prints status, outcome and body.
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
    kill -0 $! 2>/dev/null || fail "$name ended before it was ready"
    sleep 0.1
  done
  fail "$name is not ready"
}
address() { field "$work/$1.out" address; }

# until_true TEXT COMMAND: waits until a command succeeds.
until_true() {
  local text=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "waited in vain until $text"
}

say "platform, engines and services"
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

say "three zones of daemons"
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

say "the operator applies a document to trial and promotes it"
client check examples/shop.json
client apply examples/shop.json --stage=trial --base=current
client promote shop --base=current

say "the operator grants keys"
client --json grant shop acme >"$work/acme.json"
client --json grant shop birch >"$work/birch.json"
acme=$(field "$work/acme.json" key)
birch=$(field "$work/birch.json" key)
for zone in "${zones[@]}"; do
  served() { [[ "$(http POST "$(address "entry-$zone")/quotes" probe "$1")" == 200* ]]; }
  until_true "entry-$zone serves the key of acme" served "$acme"
  until_true "entry-$zone serves the key of birch" served "$birch"
done
echo "keys of acme and birch are in force at every entry"

say "calls of a plain service, with permits for bookings"
"$bin/load-generator" --mode=calls --entries="$entries" --key="$birch" --calls=300 --seed=1 || fail "quotes"
"$bin/load-generator" --mode=bookings --path=/bookings --entries="$entries" --key="$birch" --calls=150 --seed=2 ||
  fail "bookings"

say "calls of the model engine"
"$bin/load-generator" --mode=completions --entries="$entries" --key="$birch" --calls=60 --threads=6 --seed=3 ||
  fail "completions"

say "one step of samples, with a weight version published during it"
"$bin/load-generator" --mode=step --entries="$entries" --key="$acme" --groups=12 --group_size=4 --max_tokens=1200 \
  --publish_at=10 --seed=4 || fail "step"

say "the operator withdraws the key of birch"
client withdraw shop "$(field "$work/birch.json" key_id)"
for zone in "${zones[@]}"; do
  refused() { [[ "$(http POST "$(address "entry-$zone")/quotes" probe "$birch")" == "401 not_run"* ]]; }
  until_true "entry-$zone refuses the key of birch" refused
done
http POST "$(address entry-z2)/quotes" probe "$birch"

say "the operator drains the service of zone z1"
client drain target service-z1
seen() { http GET "$(address service-z1)/admin/seen" | python3 -c \
  'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])'; }
settled() {
  local before after
  before=$(seen)
  "$bin/load-generator" --mode=calls --entries="$entries" --key="$acme" --calls=60 >/dev/null || return 1
  after=$(seen)
  [ "$before" = "$after" ]
}
until_true "the drained target receives nothing" settled
echo "60 calls were answered and none went to service-z1"

say "usage report"
reported() { http GET "$platform/history" | grep -q '"event":"usage"'; }
until_true "a usage window is reported" reported
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
        sys.exit("window %s was reported with different figures" % window)
    print("window", window, json.dumps(content["lines"]))' || fail "usage report"

# events LOG: the most frequent events of a log.
events() {
  { grep -oE '"event":"[a-z_]+"' "$1" || true; } | sort | uniq -c | sort -rn | head -n 5 | tr -s ' \n' ' '
  echo
}

say "what each process did"
client status
for zone in "${zones[@]}"; do
  printf 'engine-%s:  %s requests\n' "$zone" "$(http GET "$(address "engine-$zone")/admin/seen" | python3 -c \
    'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])')"
  printf 'service-%s: %s requests\n' "$zone" "$(http GET "$(address "service-$zone")/admin/seen" | python3 -c \
    'import json,sys; print(json.loads(sys.stdin.read().split(" ",2)[2])["total"])')"
done
for zone in "${zones[@]}"; do
  printf 'control-%s: ' "$zone"
  events "$work/control-$zone.err"
  printf 'entry-%s:   ' "$zone"
  http GET "$(address "entry-$zone")/metrics" | grep -E '_total(\{| )|_count(\{| )' | head -n 6 | tr '\n' ';'
  echo
done
if grep -lF -e "${acme##*_}" -e "${birch##*_}" "$work"/*.err; then fail "a log contains a key"; fi

say "stopping everything, the newest first"
for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
  kill -TERM "${pids[$i]}"
  status=0
  wait "${pids[$i]}" || status=$?
  [ "$status" -eq 0 ] || fail "${names[$i]} ended with $status"
done
pids=()
say "everything worked"
