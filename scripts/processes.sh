# Starts the programs as processes on loopback, for the scripts that source this.
# A script defines fail TEXT.
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work" "$claim"
}
# Claims a block of a thousand ports below the ephemeral range, so that two
# runs do not meet.
claim=
for thousands in $(shuf -i 18-31); do
  if mkdir "${TMPDIR:-/tmp}/bluebellridge-ports-$thousands" 2>/dev/null; then
    claim="${TMPDIR:-/tmp}/bluebellridge-ports-$thousands"
    (exec 3<>"/dev/tcp/127.0.0.1/${thousands}000") 2>/dev/null || break
    rmdir "$claim"; claim=
  fi
done
trap cleanup EXIT
[ -n "$claim" ] || { echo "no free block of ports"; exit 1; }
for file in examples/demo/*.yaml examples/fleet/*.yaml; do
  sed "s/:17\([0-9][0-9][0-9]\)/:$thousands\1/" "$file" >"$work/${file##*/}"
done
export BLUEBELLRIDGE_TOKEN=demo-token-of-no-secret BLUEBELLRIDGE_ENTRY=127.0.0.1:${thousands}201
step() { printf '\n== %s\n' "$*"; }
start() { local name=$1; shift; "$@" >"$work/$name.log" 2>&1 & pids+=($!); eval "pid_$name=$!"; }
until_true() { for _ in $(seq 200); do if "$@" >/dev/null 2>&1; then return 0; fi; sleep 0.1; done; fail "waited in vain for: $*"; }


# start_fleet starts a stand-in fleet with six upstreams in two pools, and three
# entries on it.
start_fleet() {
  start fleet bin/bbrstandin fleet --listen "127.0.0.1:${thousands}500" --workers "$(addresses 541 542 543 544 545 546)" --pools press,proofs
  until_true curl -fs "http://127.0.0.1:${thousands}500/machines"
  for entry in f1 f2 f3; do start "$entry" bin/bluebellridged run "$work/entry-$entry.yaml"; done
  curl -fsS -X PUT "http://127.0.0.1:${thousands}500/operator/op/config" -d @examples/fleet/config.json >/dev/null
  for port in 521 522 523; do until_true curl -fs "http://127.0.0.1:${thousands}$port/ready"; done
}
addresses() { for i in "$@"; do printf '%s127.0.0.1:%s' "$separator" "${thousands}$i"; separator=,; done; separator=; }
separator=
