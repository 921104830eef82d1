#!/usr/bin/env bash
# Switches off one mechanism at a time and expects the named proof to fail: a
# proof that passes without its mechanism proves nothing. The work tree is not
# touched; the changed file is laid over it for the compiler only.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${RAPID_SEED:-20261204}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
survived=0
killed=0

# mutant NAME PACKAGE TEST FILE SED-EXPRESSION
mutant() {
  local name=$1 package=$2 test=$3 file=$4 expression=$5
  sed -E "$expression" "$file" >"$work/mutant.go"
  if cmp -s "$file" "$work/mutant.go"; then echo "STALE     $name: the expression changes nothing in $file"; survived=$((survived + 1)); return; fi
  printf '{"Replace":{"%s":"%s"}}' "$PWD/$file" "$work/mutant.go" >"$work/overlay.json"
  local flags=()
  if grep -lq 'pgregory.net/rapid' "$package"/*_test.go; then
    flags=(-rapid.seed="$seed" -rapid.checks="${CHECKS:-6000}" -rapid.nofailfile -rapid.steps="${STEPS:-80}" -rapid.shrinktime=1s)
  fi
  go test -overlay "$work/overlay.json" "./$package" -run "^$test\$" -count=1 "${flags[@]}" -timeout 40s >"$work/log" 2>&1
  local status=$?
  if grep -q 'flag provided but not defined' "$work/log"; then echo "BROKEN    $name: the test takes no such flag"; survived=$((survived + 1))
  elif [ $status -eq 0 ]; then echo "SURVIVED  $name ($test)"; survived=$((survived + 1))
  elif grep -q 'build failed' "$work/log"; then echo "BROKEN    $name: does not compile"; head -5 "$work/log"; survived=$((survived + 1))
  else
    killed=$((killed + 1))
    echo "killed    $name ($test): $(grep -m1 -E 'Error: |Messages: |test timed out' "$work/log" | sed 's/^[[:space:]]*//' | cut -c1-150)"
  fi
}

. scripts/mutants.list
echo "mutants: $killed killed, $survived survived"
[ $survived -eq 0 ]
