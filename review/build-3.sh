#!/bin/sh
# Builds the stand-ins and clients that the scripts of cases 11 to 14 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/tool-3 ./review/tool-3
