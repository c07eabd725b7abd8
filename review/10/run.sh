#!/usr/bin/env bash
# Runs the case on loopback ports and writes record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x "review/build-2/case-${here##*/}" ] && [ -x target/bin/arbutusferry-node ] || exit 2
exec "review/build-2/case-${here##*/}" target/bin/arbutusferry-node "$here"
