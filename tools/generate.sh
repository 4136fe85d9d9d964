#!/usr/bin/env bash
# Regenerates api/controlpb from api/proto. The output is committed, so the build
# needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOWORK=off go build -o "$bin/" \
  github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  google.golang.org/grpc/cmd/protoc-gen-go-grpc)
cd api
PATH="$bin:$PATH" "$bin/buf" generate
