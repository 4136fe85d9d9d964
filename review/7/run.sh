#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
program=review/harness-2/bin/case7
[ -x target/jayloom-node ] && [ -x "$program" ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
timeout --signal=KILL 118 "$program"
code=$?
[ $code -le 2 ] || code=2
exit $code
