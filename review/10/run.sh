#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/medlaryard ] && [ -x target/review-2/stand-2 ] || exit 2
exec target/review-2/stand-2 popular review/10/record.txt
