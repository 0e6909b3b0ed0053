#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Python of the standard library, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
