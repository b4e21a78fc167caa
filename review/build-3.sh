#!/bin/sh
# Builds what the scripts of the third review start, beside the program of the deploy file.
# It needs no network if the modules of the project are there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/standin-3 ./review/standin-3
