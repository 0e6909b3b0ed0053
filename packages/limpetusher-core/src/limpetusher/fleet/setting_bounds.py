"""Check of settings against their bounds."""

from collections.abc import Mapping


def find_out_of_bounds(settings: object, bounds: Mapping[str, tuple[float, float]]) -> list[str]:
    """Return a line for each setting outside of its inclusive range; NaN is in no range."""
    return [
        f"{name} is {value!r}, must be between {lowest} and {highest}"
        for name, (lowest, highest) in bounds.items()
        if not lowest <= (value := getattr(settings, name)) <= highest
    ]
