#!/bin/sh
# Plays days on the small twin of a deployment, whose entries have little processor
# time and slow links, and prints the broken rules and the takeovers of each play.
# The bench's hunt plays deployments at their full size only.
#
# usage: SEED=1 scripts/hunt-small.sh BENCH SITE [DAY...]
#
# BENCH is the bench's program and SITE a site file whose days have a line "small".
# Without DAY, all days of deploy/days are played. KEEP names a directory for the
# output of the plays with all logs; by default it is removed.
set -eu
if [ $# -lt 2 ]; then
	sed -n '6s/^# //p' "$0" >&2
	exit 2
fi
bench=$1 site=$2
shift 2
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- deploy/days/*.toml
twin=$(grep -m 1 '^small = ' "$site") || { echo "$site has no small twin" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
out=${KEEP:-$work}
mkdir -p "$out"

broken=0
for day; do
	name=$(basename "$day" .toml)
	# The twin of the site's first day stands for any other day.
	{ printf '%s\n' "$twin"; grep -v '^small = ' "$day"; } >"$work/$name.toml"
	log="$out/$name-${SEED:-1}.log"
	"$bench" run "$site" "$work/$name.toml" --small --vary --seed "${SEED:-1}" --log all --jobs "${JOBS:-2}" --why "hunt of small twins" >"$log" 2>&1 || true
	if grep '^fleetbench: .*: no ' "$log" >"$work/misfit"; then
		echo "== $name is left out: $(cat "$work/misfit")"
		continue
	fi
	echo "== $name seed ${SEED:-1}: $(grep -c 'Owner started' "$log" || true) owners started, with up to $(sed -n 's/.*"Shard loaded".* jobs=\([0-9]*\) .*/\1/p' "$log" | sort -n | tail -1) jobs; $(grep -c 'Failed to load the stored state' "$log" || true) failed attempts to load"
	if grep -A 2 '^rules broken: ' "$log"; then
		broken=1
	fi
	grep -q '^to play it took' "$log" || { broken=1; echo "the play did not end: $(tail -n 1 "$log")"; }
done
exit $broken
