#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/standin .
