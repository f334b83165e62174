#!/bin/sh
# Builds the stand-ins of the review's scripts.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-runner ./review/runner
