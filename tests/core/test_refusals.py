"""Tests of the refusal codes."""

import re
from pathlib import Path

from limpetusher.core.refusals import RefusalCode

OPERATORS_PAGE = Path(__file__).parent.parent.parent / "docs" / "operators.md"


def test_each_refusal_code_is_explained():
    """Guards against codes that the operators' page lacks, and against rows for removed codes."""
    rows = re.findall(r"^\| \d{3} \| `(\w+)` \|", OPERATORS_PAGE.read_text(encoding="utf-8"), re.MULTILINE)
    assert sorted(rows) == sorted(RefusalCode)
