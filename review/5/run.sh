#!/usr/bin/env bash
# Runs the case line-feed: exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/beryltrestled target/review-standins; do
  [ -x "$program" ] || { echo "not run: $program is not built"; exit 2; }
done
exec target/review-standins line-feed review/5
