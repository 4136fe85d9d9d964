#!/usr/bin/env bash
# Builds the programs of the cases of the third review, with the stand-ins that they hold. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p bin
GOPROXY=off GOFLAGS=-mod=readonly go build -o bin/ ./...
