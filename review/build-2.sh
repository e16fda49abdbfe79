#!/bin/sh
# Builds the stand-ins of the second independent review.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/standin2
