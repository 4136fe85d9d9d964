#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start, with their stand-ins. target/jayloom-node comes from the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p bin
GOFLAGS=-mod=readonly GOPROXY=off go build -o bin/ ./cmd/...
