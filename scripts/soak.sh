#!/usr/bin/env bash
# Runs the soak of the node processes over seeds: scripts/soak.sh FIRST LAST.
# Logs of seeds with findings are kept in the directory that is printed.
# Seeds that failed: 7201, the soak chose one port twice beside other load.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
first=${1:-1}
last=${2:-50}
keep=$(mktemp -d)
failed=0
for seed in $(seq "$first" "$last"); do
  logs="$keep/$seed"
  mkdir "$logs"
  if "$build/bin/node-soak" --node_program "$build/bin/arbutusferry-node" \
    --seed "$seed" --seconds "${SOAK_SECONDS:-8}" --nodes "${SOAK_NODES:-4}" --logs "$logs"; then
    rm -r "$logs"
  else
    failed=$((failed + 1))
    echo "seed $seed: logs in $logs"
  fi
done
echo "$((last - first + 1 - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
