#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o ../target/standin .
