#!/usr/bin/env bash
# Plays a partition of the primary while a replica is replaced, in a group with one synchronous replica. Exits with 1 if
# an acknowledged write is lost, 0 if none is, and 2 if the case could not run. TROUBLE=0 leaves the partition out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/harness-3/bin/lost
if [ ! -x "$root/target/jayloom-node" ] || [ ! -x "$program" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
  exit 2
fi
timeout --kill-after=5 110 "$program" "$root" "$here/record.txt"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
