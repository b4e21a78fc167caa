#!/bin/sh
# Builds what the scripts of the third review start, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/standin-3 ./review/standin-3
