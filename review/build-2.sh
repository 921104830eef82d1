#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-standin-2 .
