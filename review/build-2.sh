#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-player ./review/player
