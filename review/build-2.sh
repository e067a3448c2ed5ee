#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the project's programs: one program with all their stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-2 ./review/kit2
