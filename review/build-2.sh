#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it in the repository root.
set -e
cd "$(dirname "$0")/standins2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standins2 .
