#!/usr/bin/env bash
# Plays days of a site with two builds in pairs, and prints the mean of the
# differences with its standard error.
#
#   FLEETBENCH=... NAME=... scripts/experiment.sh SITE BEFORE AFTER "DAY ..." "SEED ..."
#
# BEFORE and AFTER are commits; "tree" is the work tree as it is. BEFORE may also
# be a folder with the journal of plays that were made already. Entries of the
# journal are copied into journal/, the journals of both, the table, pairs.json
# and pairs.svg go to OUT (default: a new folder under /tmp). JOBS plays run at once, three by default.
# With SWITCH_FILE and SWITCH, a file and a sed expression, the later build has the
# expression applied; it must change the file.
set -euo pipefail
cd "$(dirname "$0")/.."
site=$(realpath "$1") before=$2 after=$3 days=$4 seeds=$5
name=${NAME:?a name for the journal}
bench=${FLEETBENCH:?the path of the bench}
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# clone SIDE COMMIT
clone() {
  git clone -q . "$work/$1"
  if [ "$2" = tree ]; then
    git -C "$work/$1" checkout -q --detach
    overlay_tree "$work/$1"
  else
    git -C "$work/$1" checkout -q --detach "$(git rev-parse "$2")"
  fi
  if [ "$1" = after ] && [ -n "${SWITCH_FILE:-}" ]; then
    sed -E -i "$SWITCH" "$work/after/$SWITCH_FILE"
    cmp -s "$SWITCH_FILE" "$work/after/$SWITCH_FILE" && { echo "$name: the expression changes nothing"; exit 1; }
  fi
  rm -rf "$work/$1/journal"
  (cd "$work/$1" && "$bench" build >/dev/null)
}

# overlay_tree lays the work tree over a clone.
overlay_tree() {
  git ls-files -z --deleted | (cd "$1" && xargs -0 -r rm -f)
  git ls-files -z --modified --others --exclude-standard -- . ':!journal' | xargs -0 -r cp --parents -t "$1" 2>/dev/null || true
}

play() {
  cd "$work/$1"
  "$bench" run "$site" "$2" --seed "$3" --jobs 1 --why "experiment $name, $1 of a pair" >"$out/$1-$2-$3.txt" 2>&1 ||
    { echo "play failed: $1 $2 $3"; tail -n 3 "$out/$1-$2-$3.txt"; }
}
export -f play
export work bench site out name

earlier=$work/before/journal
sides="before after"
if [ -d "$before" ]; then
  earlier=$before sides=after
else
  clone before "$before"
fi
clone after "$after"
for seed in $seeds; do
  for day in $days; do
    for side in $sides; do
      echo "$side $day $seed"
    done
  done
done | xargs -P "${JOBS:-3}" -L 1 bash -c 'play "$0" "$1" "$2"'
mkdir -p "$out/before" "$out/after"
cp "$earlier"/*.json "$out/before/"
cp "$work"/after/journal/*.json "$out/after/"
for side in $sides; do cp -rn "$work/$side/journal/." journal/; done
go build -o bin/ ./cmd/bbrstandin
bin/bbrstandin pairs --before "$out/before" --after "$out/after" --out "$out/pairs.json" --plot "$out/pairs.svg" | tee "$out/table.txt"
