#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand ] && [ -x ../../target/medlaryard ] || { echo "build first: the build line of deploy/system.toml, review/build.sh"; exit 2; }
timeout -k 2 118 ../bin/stand -case cold -daemon ../../target/medlaryard -record record.txt
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
