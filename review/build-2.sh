#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/standin2
