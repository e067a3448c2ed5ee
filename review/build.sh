#!/bin/sh
# Builds the cases with all stand-ins that they start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[0-9]/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -o "review/bin/case$case" "./review/$case"
done
