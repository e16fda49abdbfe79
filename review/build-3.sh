#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
cd "$(dirname "$0")/.." && exec go build -o target/standin3 ./review/standin3
