#!/bin/sh
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-standins-2/release/review-standins-2
[ -x "$program" ] && [ -x target/release/swiftlink-gateway ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" versions "$here/record.txt" "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
