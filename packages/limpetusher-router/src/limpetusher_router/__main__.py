"""Entry point of `python -m limpetusher_router`."""

import sys

from limpetusher_router.command import main

sys.exit(main())
