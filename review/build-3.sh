#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-standin-3 .
