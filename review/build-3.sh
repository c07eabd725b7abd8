#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the
# build of the deploy file. Needs only the packages of that file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Iinclude -Isrc -Ireview/harness-3
  $(pkg-config --cflags jsoncpp spdlog))
libraries=(target/libarbutusferry_node.a target/libarbutusferry_core.a
  $(pkg-config --libs jsoncpp spdlog libxxhash) -lcrypto -lpthread)
g++ "${flags[@]}" -c review/harness-3/harness.cpp -o "$out/harness.o"
for source in review/1[1-5]/scenario.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/harness.o" "${libraries[@]}" \
    -o "$out/case-$number"
done
