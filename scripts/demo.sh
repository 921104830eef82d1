#!/usr/bin/env bash
# Runs the main job as separate processes on loopback and checks every answer.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh
operator() { echo "\$ bluebellridge $*"; bin/bluebellridge "$@"; }
fail() { echo "demo failed: $*"; bin/bluebellridge show instances || true; tail -n 20 "$work"/*.log; exit 1; }
ready() { curl -fs "http://127.0.0.1:$1/_ready"; }
shows() { local text; text=$(bin/bluebellridge "${@:2}") && [[ $text == *"$1"* ]]; }
state_is() { shows "$1 " "show instances where instance = $1 and state = $2"; }
active() { local text; text=$(bin/bluebellridge "show entries where active = true") && [ "$(wc -l <<<"$text")" = "$1" ]; }
load() { bin/bbrstandin caller --queue proofs,account "$@"; }
all="--entry 127.0.0.1:${thousands}101,127.0.0.1:${thousands}102,127.0.0.1:${thousands}103,127.0.0.1:${thousands}104"

step "Jobs on the platform's fleet: three entries, six upstreams in two pools"
start_fleet
submit() { bin/bbrstandin jobs --host print.example "$@"; }
entries="$(addresses 511 512 513)"
submit --entry "$entries" --prefix /press/ --jobs 20 || fail "jobs"

step "A maintenance wave over all six instances, and an entry dies under load"
submit --entry "$entries" --prefix /proofs/ --jobs 80 --seed 2 >"$work/jobs.json" & loading=$!
curl -fsS -X PUT "http://127.0.0.1:${thousands}500/operator/op/wave/1" -d '{"wave":1,"machines":["m-1","m-2","m-3","m-4","m-5","m-6"],"deadline_s":20,"cap":2}' >/dev/null
sleep 1
kill -KILL "$pid_f1"
wait "$loading" || fail "$(cat "$work/jobs.json")"
cat "$work/jobs.json"
wave_done() { curl -fs "http://127.0.0.1:${thousands}500/kv-key?key=status/wave/1" | grep -q eyJzdGF0ZSI6ImNvbXBsZXRlZCJ9; }
until_true wave_done
facts=$(curl -fs "http://127.0.0.1:${thousands}500/facts")
echo "the upstreams saw: $facts"
[[ $facts == *'"Faults":null,"TakenAway":null'* ]] || fail "$facts"
operator --entry 127.0.0.1:${thousands}562 show services
operator --entry 127.0.0.1:${thousands}563 show waves
for name in f2 f3; do eval "pid=\$pid_$name"; kill -TERM "$pid"; wait "$pid" || fail "$name did not stop well"; done
kill "$pid_fleet"

step "Starting the platform, six upstreams and four entries in two availability zones"
start platform bin/bbrstandin platform --listen 127.0.0.1:${thousands}000
start upstreams bin/bbrstandin upstream --listen 127.0.0.1:${thousands}401,127.0.0.1:${thousands}402,127.0.0.1:${thousands}403,127.0.0.1:${thousands}404,127.0.0.1:${thousands}405,127.0.0.1:${thousands}406
until_true curl -fs http://127.0.0.1:${thousands}000/calls
put() { curl -fsS -X PUT http://127.0.0.1:${thousands}000/instances -d "{\"id\":\"$1\",\"zone\":\"$2\",\"rack\":\"$3\",\"pool\":\"$4\",\"address\":\"127.0.0.1:$5\",\"slots\":8,\"connections\":64,\"memoryBytes\":64000000000}"; }
put i-1 a rack-1 press ${thousands}401; put i-2 a rack-2 press ${thousands}402; put i-3 a rack-1 portal ${thousands}403
put i-4 b rack-3 press ${thousands}404; put i-5 b rack-4 press ${thousands}405; put i-6 b rack-3 portal ${thousands}406
for entry in a1 a2 b1 b2; do start "$entry" bin/bluebellridged run "$work/entry-$entry.yaml"; done
until_true bin/bluebellridge show entries
until_true bin/bluebellridge --apply "$work/config.yaml"
for port in ${thousands}101 ${thousands}102 ${thousands}103 ${thousands}104; do until_true ready "$port"; done
for instance in i-1 i-2 i-3 i-4 i-5 i-6; do until_true state_is "$instance" serving; done
until_true active 5
sleep 0.5
operator show entries
operator show instances

step "Callers' requests through all entries"
total=$(load $all --requests 400 --json) || fail "$total"
echo "$total"

step "Where is an instance, and why; draining it under load"
operator why instance i-1
load $all --requests 1500 --concurrency 8 --work 10ms --json >"$work/drain.json" & loading=$!
sleep 0.3
operator drain i-1 for "fan noise"
until_true state_is i-1 drained
operator why instance i-1
before=$(curl -fs http://127.0.0.1:${thousands}401/statistics | sed 's/.*"runs":\([0-9]*\).*/\1/')
wait "$loading" || fail "$(cat "$work/drain.json")"
after=$(curl -fs http://127.0.0.1:${thousands}401/statistics | sed 's/.*"runs":\([0-9]*\).*/\1/')
[ "$before" = "$after" ] || fail "i-1 received new work after it was drained: $before, then $after"
echo "i-1 ran $before requests before it was drained and none since"

step "A second drain would break the service's budget and is refused"
if operator drain i-4 2>"$work/refusal"; then fail "the budget was not kept"; fi
cat "$work/refusal"
grep -q "^4006 budgetExhausted" "$work/refusal" || fail "expected the refusal 4006"
operator resume i-1
until_true state_is i-1 serving

step "Changing the configuration; it is accepted once it is in force at every entry"
operator set bound proofs 150
for port in ${thousands}201 ${thousands}202 ${thousands}203 ${thousands}204; do
  shows " 150 " --entry "127.0.0.1:$port" show queues where queue = proofs || fail "not in force at $port"
done
echo "in force at all four entries"

step "Moving an instance to the pool press, through a reboot"
until_true bin/bluebellridge move i-3 to press
until_true shows "i-3 " show instances where instance = i-3 and pool = press and state = serving
operator show instances where zone = a

step "An entry gets SIGTERM under load and cuts nothing off"
load --entry 127.0.0.1:${thousands}102 --requests 60 --concurrency 6 --work 100ms --json >"$work/term.json" & loading=$!
sleep 0.3
kill -TERM "$pid_a2"
wait "$loading" || fail "$(cat "$work/term.json")"
wait "$pid_a2" || fail "entry a2 did not stop well"
cat "$work/term.json"
final=$(load --entry 127.0.0.1:${thousands}101,127.0.0.1:${thousands}103,127.0.0.1:${thousands}104 --requests 200 --json) || fail "$final"

step "Counts"
sum() { cat "$work/drain.json" "$work/term.json" - <<<"$total"$'\n'"$final" | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | awk '{ total += $1 } END { print total }'; }
cut=$(curl -fs http://127.0.0.1:${thousands}401/statistics | grep -o '"cutOff":[0-9]*' | cut -d: -f2)
[ "$cut" = 0 ] || fail "$cut requests were cut off at an upstream"
echo "demo: requests=$(sum Requests) ran=$(sum Ran) notRun=$(sum NotRun) unknown=$(sum Unknown) cutOff=$cut partial=$(sum Partial) foreign=$(sum Foreign)"
