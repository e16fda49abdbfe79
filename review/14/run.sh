#!/bin/sh
# Plays the case "cancel"; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." && exec target/standin3 cancel "$here/record.txt"
