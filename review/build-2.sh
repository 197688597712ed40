#!/bin/sh
# Builds the stand-ins of the second review. Needs no network.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/reviewstandin2 .
