#!/usr/bin/env bash
# Checks clang-format and clang-tidy on all sources of the project. Needs a
# finished build, whose dependency records tell which headers a file includes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run -Werror
# Results are kept by content outside CI, where every file is checked.
cache=${TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/arbutusferry-tidy}
[ -z "${CI:-}" ] || cache="$build/tidy"
mkdir -p "$cache"
check() {
  [ -e "$2/$3" ] && return 0
  clang-tidy -p "$1" --quiet "$4" 2>/dev/null && touch "$2/$3"
}
export -f check
ninja -C "$build" -t deps | python3 scripts/lint_keys.py "$build" |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 bash -c 'check "$0" "$1" "$2" "$3"' "$build" "$cache"
