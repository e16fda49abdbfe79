#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/standin .
