"""Starts the router of a platform host from the source tree; `build` installs only its dependencies."""

import signal
import sys

# Before the slow imports, as SIGHUP ends a process by default. The settings are read again after the start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pathlib import Path  # noqa: E402 - SIGHUP is ignored first

ROOT = Path(__file__).resolve().parent.parent
sys.path[0:0] = [str(ROOT / "packages" / f"limpetusher-{name}" / "src") for name in ("core", "router")]

from limpetusher_router.fleet.command import main  # noqa: E402 - the path is set above

sys.exit(main())
