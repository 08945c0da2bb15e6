#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOPROXY=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o standin .
