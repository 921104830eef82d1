#!/usr/bin/env bash
# Switches off the mechanisms of scripts/ablation.list, one at a time, and plays
# each against the build as it is (see experiment.sh for the variables).
#
#   scripts/ablation.sh SITE BEFORE "DAY ..." "SEED ..." [NAME ...]
#
# BEFORE is a commit, or a folder with the journal of its plays.
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 before=$2 days=$3 seeds=$4
shift 4
out=${OUT:-$(mktemp -d)}
grep -v '^#' scripts/ablation.list | while read -r name file expression; do
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  echo "== $name"
  NAME="ablation $name" OUT="$out/$name" SWITCH_FILE=$file SWITCH=$expression \
    scripts/experiment.sh "$site" "$before" tree "$days" "$seeds" </dev/null
done
