#!/usr/bin/env bash
# Runs a deployment of separate processes on loopback and measures it.
#
#   scripts/experiment.sh start FOLDER [options of "jayloom-load experiment"]
#   scripts/experiment.sh load FOLDER [options of jayloom-load]
#   scripts/experiment.sh failover FOLDER killed|cut|frozen|leaving RUNS
#   scripts/experiment.sh usage FOLDER SECONDS
#   scripts/experiment.sh stop FOLDER
#
# failover needs a deployment that was started with --profile small and
# --relay-upstreams. usage prints CPU, memory and control traffic of each process.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { sed -n '2,13s/^# \{0,1\}//p' "$0"; exit 2; }
verb=$1 folder=$2
shift 2

# Seconds between two disturbances of a failover series, and until its load ends.
failover_period=11
failover_tail=10

random() { head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n'; }

run_process() {
  local name=$1
  shift
  setsid "$@" >>"$folder/$name.log" 2>&1 </dev/null 3>&- &
  echo $! >"$folder/$name.pid"
}

end_process() {
  local name=$1 signal=$2
  [ -f "$folder/$name.pid" ] || return 0
  kill "-$signal" "$(cat "$folder/$name.pid")" 2>/dev/null || true
  while kill -0 "$(cat "$folder/$name.pid")" 2>/dev/null; do sleep 0.05; done
  rm -f "$folder/$name.pid"
}

# Proxies end first, so that they can drain while control still answers.
stop_all() {
  local kind file
  for kind in proxy upstream control relay; do
    for file in "$folder/$kind"*.pid; do
      [ -f "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null || true
    done
    # Each kind ends before the next one is told to.
    for file in "$folder/$kind"*.pid; do
      [ -f "$file" ] && end_process "$(basename "$file" .pid)" TERM || true
    done
  done
}

ctl() {
  # shellcheck disable=SC2046
  bin/jayloomctl --credential-file "$folder/operator.credential" --timeout-ms 20000 $(cat "$folder/control") "$@"
}

wait_for() {
  local what=$1
  shift
  local limit=$((SECONDS + 30))
  while [ "$SECONDS" -lt "$limit" ]; do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for $what; see $folder/*.log" >&2
  return 1
}

count_in_state() { ctl --json show | grep -c "$1" || true; }
ready() {
  [ "$(count_in_state '"primary":')" -ge "$(grep -c 'standin.*schema.sql' "$folder/processes" | awk '{print $1/3}')" ] &&
    [ "$(count_in_state '"lastReportAgeMs"')" -ge "$(grep -c bin/jayloom-proxy "$folder/processes")" ]
}

start() {
  rm -rf "$folder"
  mkdir -p bin
  go build -o bin/ ./cmd/...
  bin/jayloom-load experiment --folder "$folder" "$@"
  trap 'stop_all; exit 1' ERR INT TERM
  (
    umask 077
    random >"$folder/operator.credential"
    random >"$folder/announcement.credential"
    printf '{"control": {"operator_credential_hash": "%s", "announcement_credential_hash": "%s"}}\n' \
      "$(bin/jayloomctl hash-credential <"$folder/operator.credential")" \
      "$(bin/jayloomctl hash-credential <"$folder/announcement.credential")" >"$folder/secrets.jsonc"
  )
  while read -r name command; do
    # shellcheck disable=SC2086
    run_process "$name" $command
  done <"$folder/processes"
  wait_for "the control leader" ctl --timeout-ms 1000 show
  while read -r line; do
    # shellcheck disable=SC2086
    ctl $line </dev/null >/dev/null
  done <"$folder/configure"
  local separator="["
  (
    umask 077
    while read -r name weight rate burst; do
      printf '%s{"name": "%s", "key": "%s", "weight": %s, "rate": %s, "burst": %s}\n' "$separator" \
        "$name" "$(ctl key give "$name" </dev/null)" "$weight" "$rate" "$burst"
      separator=","
    done <"$folder/teams" >"$folder/teams.json"
    echo "]" >>"$folder/teams.json"
  )
  wait_for "primaries and proxies" ready
  echo "$folder is up"
}

put_load() {
  # shellcheck disable=SC2046
  bin/jayloom-load $(cat "$folder/load") "$@"
}

primary() { ctl --json show | sed -n 's/.*"primary": *"\([^"]*\)".*/\1/p' | head -1; }

# other_primary succeeds when the group is healthy under another primary than $1.
other_primary() {
  local now
  now=$(primary)
  [ -n "$now" ] && [ "$now" != "$1" ] && ! ctl --json show | grep -q GROUP_PHASE_
}

post() {
  exec 9<>"/dev/tcp/${1%:*}/${1#*:}"
  printf 'POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$2" >&9
  read -rt 2 status <&9
  exec 9>&-
  case $status in *" 2"*) ;; *) echo "relay answered $status" >&2; return 1 ;; esac
}

# follow_again starts a failed server as a replica of the present primary.
follow_again() {
  local name=$1 command
  command=$(sed -n "s/^$name //p" "$folder/processes" | sed 's/ --follow .*//')
  # shellcheck disable=SC2086
  run_process "$name" $command --follow "$(primary)"
}

failover() {
  local kind=$1 runs=$2 old name relay begun
  put_load --duration $((runs * failover_period + failover_tail))s --rate "${RATE:-300}" --seed "${SEED:-1}" \
    --json "$folder/failover-$kind.json" >"$folder/failover-$kind.txt" 2>&1 &
  local load=$!
  sleep 5
  for run in $(seq 1 "$runs"); do
    begun=$SECONDS
    old=$(primary)
    name=$(sed -n "s/^\(upstream[0-9]*\) .*--advertise $old .*/\1/p" "$folder/processes")
    relay=$(sed -n "s/^relay-$name .*--http \([^ ]*\).*/\1/p" "$folder/processes")
    case $kind in
      killed) end_process "$name" KILL ;;
      frozen) kill -STOP "$(cat "$folder/$name.pid")" ;;
      cut) post "$relay" /cut ;;
      # The stand-in announces that it leaves and goes on serving.
      leaving) kill -USR1 "$(cat "$folder/$name.pid")" ;;
    esac
    wait_for "run $run of $kind" other_primary "$old" || break
    sleep 1.5
    end_process "$name" KILL
    [ "$kind" != cut ] || post "$relay" /heal
    follow_again "$name"
    echo "run $run: $old to $(primary)" >>"$folder/failover-$kind.runs"
    while [ $((SECONDS - begun)) -lt "$failover_period" ]; do sleep 0.1; done
  done
  wait "$load" || echo "the load reports a fault" >&2
  cat "$folder/failover-$kind.txt"
}

# sample prints the CPU time in ticks, resident memory and bytes of control traffic.
sample() {
  local pid
  for file in "$folder"/control*.pid "$folder"/proxy*.pid; do
    pid=$(cat "$file")
    echo "$(basename "$file" .pid) $(awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$pid/stat") $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")"
  done
}

usage() {
  local seconds=$1
  sample >"$folder/usage.before"
  sleep "$seconds"
  sample >"$folder/usage.after"
  echo "process, CPU in % of a core, resident KB"
  join "$folder/usage.before" "$folder/usage.after" |
    awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" '{printf "%s %.2f %d\n", $1, ($4 - $2) * 100 / hz / s, $5}'
}

case $verb in
  start) start "$@" ;;
  load) put_load "$@" ;;
  failover) failover "$@" ;;
  usage) usage "$@" ;;
  stop) stop_all ;;
  *) echo "unknown command $verb" >&2; exit 2 ;;
esac
