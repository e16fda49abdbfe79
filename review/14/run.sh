#!/bin/sh
# Plays the case "gang"; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x target/standin3 ] && [ -x target/gentianpick ] || exit 2
TROUBLE=${TROUBLE:-1} # 0: without the disruption
export TROUBLE
exec target/standin3 gang "$here/record.txt"
