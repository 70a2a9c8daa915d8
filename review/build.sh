#!/bin/sh
# Builds the stand-ins of the review's scripts. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOWORK=off exec go build -trimpath -buildvcs=false -o ../bin/standin .
