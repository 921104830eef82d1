#!/usr/bin/env bash
# Plays a seeded load against three entries on a stand-in fleet, and writes the
# report to OUT.json and OUT.svg. To compare builds, play it in each tree and give
# both reports to bbrstandin compare.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh
fail() { echo "load failed: $*"; tail -n 20 "$work"/*.log; exit 1; }
start_fleet
bin/bbrstandin load --host print.example --entry "$(addresses 511 512 513)" --prefix /press/,/proofs/ \
  --facts "127.0.0.1:${thousands}500" --seed "${SEED:-1}" --jobs "${JOBS:-400}" --name "${NAME:-load}" \
  --out "${OUT:-load}.json" --plot "${OUT:-load}.svg" || fail "not every job was accepted and ended"
