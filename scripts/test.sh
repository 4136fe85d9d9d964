#!/usr/bin/env bash
# Checks formatting, vets, lints and tests all modules. Tests listed in
# KNOWN-RED.txt run with their output printed and do not decide the result.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=(api base cmd consensus control gateway platform policy proxy standin wal)
packages=("${modules[@]/%//...}")
packages=("${packages[@]/#/./}")

unformatted=$(git ls-files --cached --others --exclude-standard '*.go' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi

go vet "${packages[@]}"

tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
(cd tools && GOWORK=off go build -o "$tools/" honnef.co/go/tools/cmd/staticcheck)
"$tools/staticcheck" -checks all,-ST1000,-ST1003,-ST1020,-ST1021,-ST1022 "${packages[@]}"

# A line of KNOWN-RED.txt that starts with "test:" names a package and a test.
skip=$(sed -n 's/^test: [^ ]* \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$skip" ]; then
  echo "known red, not deciding: $skip"
  known=$(mktemp)
  trap 'rm -rf "$tools" "$known"' EXIT
  go test -count=1 -run "^($skip)\$" "${packages[@]}" 2>&1 | tee "$known" || true
  ./scripts/known-red.sh KNOWN-RED.txt "$known"
fi

# Tests of clients that misbehave run one at a time, apart from other load.
abuse='^TestAbuse'
mapfile -t others < <(go list "${packages[@]}" | grep -v '/cmd/internal/abuse$')
go test -count=1 -skip "^(${skip:-none})\$|$abuse" "${others[@]}"
go test -count=1 -p 1 -skip "^(${skip:-none})\$" ./cmd/internal/abuse
go test -count=1 -p 1 -skip "^(${skip:-none})\$" -run "$abuse" ./cmd/internal/e2e
