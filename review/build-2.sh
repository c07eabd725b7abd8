#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10 into review/build-2/, with
# those of the first review that they use. Needs the packages of
# deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
rm -f build-2/*
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Iharness)
read -ra json < <(pkg-config --cflags --libs jsoncpp)
sources=(harness/{http,store,sampler,world}.cpp harness-2/stage.cpp)
pids=()
for source in "${sources[@]}"; do
  g++ "${flags[@]}" "${json[@]}" -c "$source" -o "build-2/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for case in 6 7 8 9 10; do
  g++ "${flags[@]}" "${json[@]}" -c "$case/case.cpp" -o "build-2/case-$case.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for case in 6 7 8 9 10; do
  g++ -pthread "build-2/case-$case.o" build-2/{http,store,sampler,world,stage}.o \
    "${json[@]}" -o "build-2/case-$case"
done
