#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt, one per
# line as "<TestName> | <command and seed> | <what was seen> | issue <n>", are
# skipped and printed; lines that start with # are comments.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n '/^#/!s/^\([A-Za-z0-9_\/]\{1,\}\) *|.*/^\1$/p' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -n "$skip" ]; then
  echo "Skipped as known failures (KNOWN-RED.txt):"
  grep -v '^#' KNOWN-RED.txt
  "$go" test -race -count=1 -timeout 15m -skip "$skip" ./...
else
  "$go" test -race -count=1 -timeout 15m ./...
fi
