#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -e
cd "$(dirname "$0")/.."
exec go build -buildvcs=false -o target/review-2/ ./review/stand-2
