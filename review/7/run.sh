#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
stage=target/review-2/release/rushwalk-review-2
[ -x "$stage" ] || { echo "$stage is missing: run review/build-2.sh"; exit 2; }
exec "$stage" gang-fetch "$PWD" "$PWD/review/7"
