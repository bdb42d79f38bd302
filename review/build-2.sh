#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 of the second review. They need the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/probe .
