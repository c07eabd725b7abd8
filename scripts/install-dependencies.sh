#!/usr/bin/env bash
# Installs the libraries and tools of the build from Debian packages.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
  libcaf-dev libjsonrpccpp-dev libjsoncpp-dev libcpp-httplib-dev
  libboost1.81-dev libgflags-dev libspdlog-dev libfmt-dev libxxhash-dev libssl-dev
  catch2 libtrompeloeil-cpp-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q "${missing[@]}"
