#!/usr/bin/env bash
# Checks clang-format and clang-tidy on all sources of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run -Werror
cache="$build/tidy"
mkdir -p "$cache"
# A file is checked again only when it, the rules or any header of the project changed.
headers=$(git ls-files '*.hpp' .clang-tidy CMakeLists.txt | xargs sha256sum | sha256sum | cut -c1-16)
check() {
  key="$3/$(sha256sum "$1" | cut -c1-16)-$2-$(echo "$1" | tr / _)"
  [ -e "$key" ] && return 0
  clang-tidy -p "$4" --quiet "$1" 2>/dev/null && touch "$key"
}
export -f check
git ls-files '*.cpp' | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c "check {} $headers $cache $build"
