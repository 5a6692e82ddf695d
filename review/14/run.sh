#!/bin/sh
# Plays the case with the programs of deploy/system.toml and the stand-ins of review/build-3.sh. TROUBLE=0 leaves the disruption out.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardwalkd ] && [ -x target/review-3/harness-3 ] || exit 2
exec target/review-3/harness-3 -case other-urgent -record review/14/record.txt
