#!/bin/sh
# Builds the stand-ins that the scripts of the review start. It needs no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-standin .
