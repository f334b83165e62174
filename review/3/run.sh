#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-runner ] && [ -x target/trefoilstreamd ] || exit 2
exec target/review-runner replaced target/trefoilstreamd review/3/record.txt
