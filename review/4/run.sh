#!/bin/sh
# TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 python3 -m review.4.case "${TROUBLE:-1}"
