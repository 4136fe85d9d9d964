#!/usr/bin/env bash
# Builds everything and runs a local deployment as separate processes: three
# control processes, two proxies and one group of three stand-in databases.
# Ctrl-C stops them. With --start-only it returns once all is ready; stop with
# scripts/local.sh --stop.
set -euo pipefail
cd "$(dirname "$0")/.."

processes=(proxy1 proxy2 standin1 standin2 standin3 control1 control2 control3)

# A process whose parent has not collected its status still answers kill -0.
running() {
  [ -r "/proc/$1/status" ] && ! grep -q '^State:[[:space:]]*Z' "/proc/$1/status"
}

# Stops proxies first, so that they can drain while control still answers. What
# does not end within 70 s, above the drain limit, is killed.
stop_all() {
  local name pid
  for name in "${processes[@]}"; do
    [ -f "local/$name.pid" ] || continue
    pid=$(cat "local/$name.pid")
    if running "$pid"; then kill -TERM "$pid" 2>/dev/null || true; fi
  done
  for name in "${processes[@]}"; do
    [ -f "local/$name.pid" ] || continue
    pid=$(cat "local/$name.pid")
    for _ in $(seq 1 700); do
      running "$pid" || break
      sleep 0.1
    done
    if running "$pid"; then kill -KILL "$pid" 2>/dev/null || true; fi
    rm -f "local/$name.pid"
  done
}

if [ "${1:-}" = --stop ]; then
  stop_all
  exit 0
fi

echo "building"
mkdir -p bin
go build -o bin/ ./cmd/...

stop_all
rm -rf local
mkdir -p local
trap 'stop_all; echo "stopped"; exit 0' INT TERM
trap 'stop_all' ERR

start() {
  local name=$1
  shift
  # A process group of its own keeps Ctrl-C for this script, which stops in order.
  setsid "$@" >"local/$name.log" 2>&1 </dev/null &
  echo $! >"local/$name.pid"
}

random() { head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n'; }

random >local/operator.credential
random >local/announcement.credential
chmod 600 local/*.credential
cat >local/secrets.jsonc <<JSON
{
  "control": {
    "operator_credential_hash": "$(bin/jayloomctl hash-credential <local/operator.credential)",
    "announcement_credential_hash": "$(bin/jayloomctl hash-credential <local/announcement.credential)",
  },
}
JSON

for i in 1 2 3; do
  start "control$i" bin/jayloom-control --settings deploy/local/base.jsonc \
    --overlay "deploy/local/control$i.jsonc" --overlay local/secrets.jsonc
done

announce=(--announce http://127.0.0.1:7411 --announce http://127.0.0.1:7412
  --announce http://127.0.0.1:7413
  --announce-credential-file local/announcement.credential)
for i in 1 2 3; do
  follow=()
  [ "$i" = 1 ] || follow=(--follow 127.0.0.1:7501)
  start "standin$i" bin/jayloom-standin --listen "127.0.0.1:750$i" --http "127.0.0.1:751$i" \
    --user jayloom --password upstream-password --service wax --group wax-1 --place local \
    --lag 2s --connect-delay 10ms --connection-limit 25 "${follow[@]}" "${announce[@]}"
done

for i in 1 2; do
  start "proxy$i" bin/jayloom-proxy --settings deploy/local/base.jsonc --overlay "deploy/local/proxy$i.jsonc"
done

ctl=(bin/jayloomctl --credential-file local/operator.credential
  --control 127.0.0.1:7401 --control 127.0.0.1:7402 --control 127.0.0.1:7403 --timeout-ms 20000)

wait_for() {
  local what=$1
  shift
  for _ in $(seq 1 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for $what; see local/*.log"
  stop_all
  exit 1
}

has_primary() { "${ctl[@]}" --json show | grep -q '"primary":'; }
proxies_attend() { [ "$("${ctl[@]}" --json show | grep -c '"lastReportAgeMs"')" -ge 2 ]; }

wait_for "the control leader" "${ctl[@]}" show
"${ctl[@]}" service set wax --slot-group wax-1
"${ctl[@]}" team set driver --rate 1000 --burst 500
(umask 077 && "${ctl[@]}" key give driver >local/driver.key)
wait_for "the primary" has_primary
wait_for "the proxies" proxies_attend

cat <<TXT

The deployment is up. Two lines to try, in another terminal, in this folder:

  PGPASSWORD=\$(cat local/driver.key) psql 'host=127.0.0.1 port=7431 user=driver dbname=wax'
  bin/jayloomctl --credential-file local/operator.credential show

TXT
if [ "${1:-}" = --start-only ]; then exit 0; fi
echo "Ctrl-C stops everything."
while true; do sleep 1; done
