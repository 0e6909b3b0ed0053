"""Runs the operator tool with `python -m limpetusher_operator`."""

import sys

from limpetusher_operator.command import main

sys.exit(main())
