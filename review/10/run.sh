#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disturbance out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebellridged ] && [ -x target/review-standin-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
timeout -k 2 118 target/review-standin-2 -case 10 -record review/10/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
