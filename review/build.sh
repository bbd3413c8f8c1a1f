#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
