#!/usr/bin/env bash
# Exits with 1 if a stale order arrived, with 0 if
# not, and with 2 if the case couldn't run. TROUBLE=0 leaves the cut out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/anvild ] && [ -x target/review/held-order ] || exit 2
exec timeout -k 1 118 target/review/held-order
