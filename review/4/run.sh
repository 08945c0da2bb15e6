#!/bin/sh
# Case 4. Run it in the repository root, after the build of deploy/system.toml and
# review/build-2.sh. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosa-entry ] && [ -x target/review-standins2 ] || exit 2
exec target/review-standins2 4 review/4
