#!/usr/bin/env bash
# Scores the deployments of the regression runs on the users' bench, one after the other, and prints
# a line for each: score, gate. BENCH is the users' program and SITES the folder that holds their
# deployments. The whole output goes to OUT.
#
#   scripts/regression.sh BENCH SITES WHY [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 3 ] || { sed -n '2,7s/^# \{0,1\}//p' "$0"; exit 2; }
bench=$1 sites=$2 why=$3 out=${4:-regression}
jobs=3

# The oldest deployments gave way to these when the gate on the large one was passed.
deployments=(
  further/tfsg-seal
  further-grown/tfsg-seal-grown
  large/litbrot-ops-large
  grown/litbrot-ops-grown
  grown/paplate-riga-grown
)

mkdir -p "$out"
failed=0
for deployment in "${deployments[@]}"; do
  file="$out/$(basename "$deployment").txt"
  "$bench" score "$sites/$deployment.toml" --jobs "$jobs" --why "$why" >"$file" 2>&1 || failed=1
  grep -q '^GATE passed' "$file" || failed=1
  printf '%s: %s; %s\n' "$deployment" \
    "$(grep -m1 '^score on' "$file" || echo 'no score')" "$(grep -m1 '^GATE' "$file" || echo 'no gate')"
done
exit "$failed"
