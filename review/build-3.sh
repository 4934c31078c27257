#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -e
cd "$(dirname "$0")/.."
exec go build -buildvcs=false -tags review -o target/review-3/ ./review/stand-3
