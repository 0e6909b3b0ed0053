"""limpetusher: decision core and configuration of a router fleet for shared model capacity."""

from limpetusher.errors import LimpetusherError

__version__ = "0.1.0"

__all__ = ["LimpetusherError", "__version__"]
