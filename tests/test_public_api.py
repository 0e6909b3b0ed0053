"""Tests of the package's public names."""

import limpetusher


def test_public_names_are_importable():
    """Guards against missing public names, and against ones that the design page does not list."""
    public = {"Configuration", "DecisionCore", "LimpetusherError", "load_configuration", "__version__"}
    assert set(limpetusher.__all__) == public
    assert all(hasattr(limpetusher, name) for name in public)
