#!/usr/bin/env bash
# Builds the stand-in that the cases' scripts start.
set -euo pipefail
cd "$(dirname "$0")"
go build -C standin -o ../bin/standin .
