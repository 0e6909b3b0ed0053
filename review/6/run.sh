#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 python3 review/6/case.py
status=$?
if [ "$status" -gt 1 ]; then
    exit 2
fi
exit "$status"
