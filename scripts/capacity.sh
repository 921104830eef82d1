#!/usr/bin/env bash
# Measures what control costs an idle entry and the platform, for availability
# zones of several sizes (zones:entries a zone:instances a zone), from running daemons: processor time and
# resident memory from the system, bytes from the real connections, calls from
# the platform's counter. Prints a row for each size.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${SECONDS_MEASURED:-10}
sizes=${SIZES:-"1:2:20 1:4:20 1:8:20 1:4:80 1:4:320 7:4:77"}
token=capacity-token-not-secret
ticks=$(getconf CLK_TCK)
printf '%6s %8s %10s %8s %8s %13s %10s %12s %10s %11s\n' zones entries instances 'core %' 'RSS MB' 'platform B/s' 'peer B/s' 'most B/s' 'calls/s' 'view bytes'
run() {
  local zones=$1 entries=$(($1 * $2)) instances=$(($1 * $3)) work pids=() i
  local names=(a b c d e f g)
  work=$(mktemp -d)
  bin/bbrstandin platform --listen 127.0.0.1:19000 >"$work/platform.log" 2>&1 & pids+=($!)
  local addresses
  addresses=$(seq -f '127.0.0.1:%.0f' -s, 20000 $((20000 + instances - 1)))
  bin/bbrstandin upstream --listen "$addresses" >"$work/upstream.log" 2>&1 & pids+=($!)
  until curl -fs http://127.0.0.1:19000/calls >/dev/null; do sleep 0.1; done
  for i in $(seq 0 $((instances - 1))); do
    printf 'next\nurl = "http://127.0.0.1:19000/instances"\nrequest = "PUT"\ndata = "{\\"id\\":\\"i-%d\\",\\"zone\\":\\"%s\\",\\"rack\\":\\"r-%d\\",\\"pool\\":\\"p-%d\\",\\"address\\":\\"127.0.0.1:%d\\",\\"slots\\":8,\\"connections\\":64,\\"memoryBytes\\":64000000000}"\n' "$i" "${names[$((i % zones))]}" $((i / 4)) $((i / zones % 76)) $((20000 + i))
  done | sed 1d >"$work/curl"
  curl -s -K "$work/curl" >/dev/null
  {
    echo 'organisation: capacity'; echo 'services: {all: {budget: 5}}'; echo 'pools:'
    for i in $(seq 0 75); do echo "  p-$i: {urgentReserve: 1}"; done
    echo 'queues:'
    for i in $(seq 0 75); do echo "  q-$i: {service: all, pool: p-$i, bound: 100, timeout: 30s, answerBytes: 1048576}"; done
    echo 'teams:'
    for i in $(seq 0 50); do echo "  t-$i: {quota: 40}"; done
  } >"$work/config.yaml"
  local daemons=()
  for i in $(seq 1 "$entries"); do
    cat >"$work/e$i.yaml" <<Y
entry: e$i
zone: ${names[$((i % zones))]}
listen: {callers: "127.0.0.1:$((19100 + i))", operators: "127.0.0.1:$((19200 + i))", peers: "127.0.0.1:$((19300 + i))"}
platform: {address: "127.0.0.1:19000"}
operators: {token: $token}
shutdown: {balancerLag: 0s, grace: 1s}
Y
    bin/bluebellridged run "$work/e$i.yaml" >"$work/e$i.log" 2>&1 & pids+=($!); daemons+=($!)
  done
  until bin/bluebellridge --entry 127.0.0.1:19201 --token $token --apply "$work/config.yaml" >/dev/null 2>&1; do sleep 0.2; done
  sleep 16
  sample() {
    local pid cpu=0 i
    for pid in "${daemons[@]}"; do cpu=$((cpu + $(awk '{print $14 + $15}' "/proc/$pid/stat"))); done
    for i in $(seq 1 "$entries"); do
      curl -s "http://127.0.0.1:$((19200 + i))/metrics" | awk '/^bbr_control_bytes_total.*peer/ {q += $2} /^bbr_control_bytes_total.*platform/ {p += $2} END {printf "%d %d\n", p, q}'
    done >"$work/$1"
    echo "$cpu" "$(curl -s http://127.0.0.1:19000/calls | grep -o '[0-9]*' | paste -sd+ | bc)"
  }
  local before after
  before=($(sample before)); sleep "$seconds"; after=($(sample after))
  local rss=0 pid view
  for pid in "${daemons[@]}"; do rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status"))); done
  view=$(curl -s "http://127.0.0.1:19000/v1/kv/zones%2Fa" | grep -o '"value":"[^"]*"' | cut -d'"' -f4 | base64 -d | wc -c)
  paste -d' ' "$work/before" "$work/after" | awk -v z="$zones" -v n="$entries" -v m="$3" -v s="$seconds" -v t="$ticks" -v c=$((after[0] - before[0])) \
    -v k=$((after[1] - before[1])) -v r=$rss -v v="$view" '
    {p += $3 - $1; q += $4 - $2; x = $3 - $1 + $4 - $2; if (x > most) most = x}
    END {printf "%6d %8d %10d %8.2f %8.1f %13.0f %10.0f %12.0f %10.1f %11d\n", z, n/z, m, 100*c/t/s/n, r/1024/n, p/s/n, q/s/n, most/s, k/s, v}'
  if [ -n "${BAD_DAY:-}" ]; then bad_day "$work"; fi
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
# bad_day takes the platform away and back, and times a change and a new entry.
bad_day() {
  local began last now peak=0 calls='curl -s http://127.0.0.1:19000/calls'
  total() { $calls | grep -o '[0-9]*' | paste -sd+ | bc; }
  began=$(date +%s%N)
  bin/bluebellridge --entry 127.0.0.1:19201 --token $token set bound q-0 101
  echo "change in force everywhere after $((($(date +%s%N) - began) / 1000000)) ms"
  sed -E 's/^entry: .*/entry: new/; s/1910[0-9]"/19098"/; s/1920[0-9]"/19099"/; s/1930[0-9]"/19097"/' "$1/e1.yaml" >"$1/new.yaml"
  began=$(date +%s%N)
  bin/bluebellridged run "$1/new.yaml" >"$1/new.log" 2>&1 & pids+=($!)
  until curl -fs http://127.0.0.1:19098/_ready; do sleep 0.01; done
  echo "new entry ready after $((($(date +%s%N) - began) / 1000000)) ms"
  curl -s -X PUT http://127.0.0.1:19000/faults -d '{"down":true}'
  sleep 30
  curl -s -X PUT http://127.0.0.1:19000/faults -d '{}'
  last=$(total)
  for _ in $(seq 10); do sleep 1; now=$(total); if [ $((now - last)) -gt $peak ]; then peak=$((now - last)); fi; last=$now; done
  echo "platform away for 30 s: at most $peak calls a second in the 10 s after"
}

for size in $sizes; do run ${size//:/ }; done
