"""limpetusher: decision core and configuration of a router fleet for shared model capacity.

Public names are imported on first use. A router on a platform host uses neither the decision core nor the
configuration document, and importing both takes almost half of its start-up time.
"""

import importlib

__version__ = "0.1.0"

__all__ = ["Configuration", "DecisionCore", "LimpetusherError", "__version__", "load_configuration"]

LAZY_IMPORTS = {
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
    if name not in LAZY_IMPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(LAZY_IMPORTS[name]), name)
