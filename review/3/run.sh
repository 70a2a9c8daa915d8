#!/bin/sh
# Plays the case "controller-replaced": exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/hitch-entry ] || { echo "not built" >&2; exit 2; }
exec ../bin/standin controller-replaced ../../target/hitch-entry record.txt
