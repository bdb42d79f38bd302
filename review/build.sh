#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs Go and nothing else; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review/standin .
