"""Check that the platform's names are used by its adapter only."""

import re
from pathlib import Path

PACKAGES = Path(__file__).parents[3] / "packages"
PLATFORM_NAMES = re.compile(
    r"x-(server-seal|prompt-prefix|token-usage|target-instance|tenant|credential|not-executed|deadline-ms)"
    r"|kv-(watch|range|key)|op/config|op/evacuate|coldLeftMs|currentRev|kvCapacity|apiKeys|gapAimMs",
    re.IGNORECASE,
)


def test_names_of_the_platform_stay_in_its_folder():
    """Guards against decisions that depend on how the platform spells things."""
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
