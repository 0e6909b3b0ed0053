"""limpetusher: decision core and configuration of a router fleet for shared model capacity.

The names below are imported on first use: a router of a platform host needs neither the lease core nor the
configuration document, whose imports take almost half of its start.
"""

import importlib

__version__ = "0.1.0"

__all__ = ["Configuration", "DecisionCore", "LimpetusherError", "__version__", "load_configuration"]

MODULES = {
    "Configuration": "limpetusher.configuration.compiled",
    "DecisionCore": "limpetusher.core.decision",
    "LimpetusherError": "limpetusher.errors",
    "load_configuration": "limpetusher.configuration.document",
}


def __getattr__(name: str) -> object:
    """Import a public name.

    Raises
    ------
    AttributeError
        If there is no such name.
    """
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(MODULES[name]), name)
