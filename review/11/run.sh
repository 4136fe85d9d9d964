#!/usr/bin/env bash
# Plays a partition of the primary while a replica is replaced, in a group with one synchronous replica, in two forms
# (see claim.txt). Exits with 1 if an acknowledged write is lost in one of them, 0 if none is, and 2 if the case could not
# run. TROUBLE=0 leaves the partitions out. FORMS="0" or FORMS="1" plays the first or the second form only.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/harness-3/bin/lost
if [ ! -x "$root/target/jayloom-node" ] || [ ! -x "$program" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
  exit 2
fi
part=$(mktemp)
trap 'rm -f "$part"' EXIT
: >"$here/record.txt"
broken=0 failed=0
for form in ${FORMS:-0 1}; do
  echo "form $((form + 1))" | tee -a "$here/record.txt"
  PARTITIONED=$form timeout --kill-after=5 50 "$program" "$root" "$part"
  case $? in
    0) ;;
    1) broken=1 ;;
    *) failed=1 ;;
  esac
  cat "$part" >>"$here/record.txt"
done
[ $broken = 0 ] || exit 1
[ $failed = 0 ] || exit 2
exit 0
