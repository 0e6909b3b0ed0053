"""Checks that only the platform adapter uses the platform's names."""

import re
from pathlib import Path

PACKAGES = Path(__file__).parents[3] / "packages"
PLATFORM_NAMES = re.compile(
    r"x-(server-seal|prompt-prefix|token-usage|target-instance|tenant|credential|not-executed|deadline-ms)"
    r"|kv-(watch|range|key)|op/config|op/evacuate|coldLeftMs|currentRev|kvCapacity|apiKeys|gapAimMs",
    re.IGNORECASE,
)


def test_platform_names_are_used_only_in_the_adapter():
    """Guards against code outside the adapter that depends on the platform's names."""
    found = [
        f"{path.relative_to(PACKAGES)}: {match[0]}"
        for path in PACKAGES.rglob("*.py")
        if "platform" not in path.parts
        for match in [PLATFORM_NAMES.search(path.read_text())]
        if match
    ]
    assert found == []
    adapter = "".join(path.read_text() for path in PACKAGES.rglob("platform/*.py"))
    assert len(set(PLATFORM_NAMES.findall(adapter))) > 5
