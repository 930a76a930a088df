#!/usr/bin/env bash
# Exits with 1 if a request ran twice or was refused though it ran, with 0 if
# not, and with 2 if the case couldn't run. TROUBLE=0 leaves the late copies out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/anvild ] && [ -x target/review/late-copies ] || exit 2
exec timeout -k 1 118 target/review/late-copies
