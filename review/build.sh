#!/bin/sh
# Builds the stand-ins that the scripts start. The programs of the project themselves come
# from the build of the deploy file, in target/.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/standin ./review/standin
