#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. The daemon itself is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
mkdir -p review/bin
go build -tags review -o review/bin/stand ./review/stand
