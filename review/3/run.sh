#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0
# it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
exec python3 case.py
