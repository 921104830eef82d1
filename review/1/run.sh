#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/bluebellridged ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec review/bin/standin due target/bluebellridged review/1/record.txt
