#!/usr/bin/env bash
# Runs the soak test of the node processes for each seed in a range:
# scripts/soak.sh FIRST LAST. Keeps the logs of failed seeds and prints their
# directory. SOAK_FLAGS=--limits lets targets name limits on their requests;
# SOAK_FLAGS=--stops only stops nodes, one after the other.
# Seed 7201 has failed: the soak test chose one port twice while other load ran
# on the machine. Seed 2 with SOAK_SECONDS=16 has failed beside three other runs,
# probably since two were given one port. Seed 2 has also shown that a target that
# ends may close its connections before its port.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
first=${1:-1}
last=${2:-50}
log_root=$(mktemp -d)
failed=0
for seed in $(seq "$first" "$last"); do
  logs="$log_root/$seed"
  mkdir "$logs"
  if "$build/bin/node-soak" --node_program "$build/bin/arbutusferry-node" \
    --seed "$seed" --seconds "${SOAK_SECONDS:-8}" --nodes "${SOAK_NODES:-4}" --logs "$logs" ${SOAK_FLAGS:-}; then
    rm -r "$logs"
  else
    failed=$((failed + 1))
    echo "seed $seed: logs in $logs"
  fi
done
echo "$((last - first + 1 - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
