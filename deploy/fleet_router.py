"""Starts the router of a platform host from the source tree; `build` installs only its dependencies."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[0:0] = [str(ROOT / "packages" / f"limpetusher-{name}" / "src") for name in ("core", "router")]

from limpetusher_router.fleet.command import main  # noqa: E402 - the path is set above

sys.exit(main())
