#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program="review/build/case-$(basename "$here")"
[ -x "$program" ] && [ -x target/sequoialb-platform ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
timeout -k 5 115 env TROUBLE="${TROUBLE:-1}" "$program" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
