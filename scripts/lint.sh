#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources. Needs a finished build, whose
# dependency records list the headers that each file includes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run -Werror
# Caches passed checks by content, except in CI, where every file is checked.
cache=${TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/arbutusferry-tidy}
[ -z "${CI:-}" ] || cache="$build/tidy"
mkdir -p "$cache"
check_file() {
  [ -e "$2/$3" ] && return 0
  clang-tidy -p "$1" --quiet "$4" 2>/dev/null && touch "$2/$3"
}
export -f check_file
ninja -C "$build" -t deps | python3 scripts/lint_keys.py "$build" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c 'check_file "$0" "$1" "$2" "$3"' "$build" "$cache"
