"""limpetusher: decision core and configuration of a router fleet for shared model capacity."""

from limpetusher.configuration.compiled import Configuration
from limpetusher.configuration.document import load_configuration
from limpetusher.core.decision import DecisionCore
from limpetusher.errors import LimpetusherError

__version__ = "0.1.0"

__all__ = ["Configuration", "DecisionCore", "LimpetusherError", "__version__", "load_configuration"]
