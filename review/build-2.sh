#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stage2"
GOWORK=off go build -buildvcs=false -o ../../target/review-stage-2 .
