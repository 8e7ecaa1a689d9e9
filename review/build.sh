#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The deploy file's build comes
# first; it makes target/galenasaild.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-lab .
