#!/usr/bin/env bash
# Plays the case "stale". Status 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/gaugeyard-platform ] || [ ! -x target/review-standin ]; then
  ./review/build.sh || exit 2
fi
exec target/review-standin --case stale --root . --record "$folder/record.txt" --trouble="${TROUBLE:-1}"
