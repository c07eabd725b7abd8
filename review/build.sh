#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into review/build/. Needs the
# packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
rm -f build/*
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Iharness)
read -ra json < <(pkg-config --cflags --libs jsoncpp)
parts=(http store sampler world)
pids=()
for part in "${parts[@]}"; do
  g++ "${flags[@]}" "${json[@]}" -c "harness/$part.cpp" -o "build/$part.o" &
  pids+=($!)
done
for case in [0-9]*/case.cpp; do
  [ -e "$case" ] || continue
  g++ "${flags[@]}" "${json[@]}" -c "$case" -o "build/case-${case%%/*}.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for object in build/case-*.o; do
  [ -e "$object" ] || continue
  g++ -pthread "$object" build/{http,store,sampler,world}.o "${json[@]}" -o "${object%.o}"
done
