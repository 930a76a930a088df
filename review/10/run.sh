#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption; case.py gets it as its argument.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
Trouble=on
if [ "${TROUBLE:-1}" = 0 ]; then
  Trouble=off
fi
exec timeout -k 5 115 python3 case.py "$Trouble"
