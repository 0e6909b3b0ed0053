"""Entry point of `python -m limpetusher_standins`."""

import sys

from limpetusher_standins.command import main

sys.exit(main())
