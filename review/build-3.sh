#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/14. The program itself is built by the deploy file.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
go build -o target/review/standin3 ./review/standin3
