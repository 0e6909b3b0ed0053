"""Test of the demo."""

import time

import pytest

from limpetusher_standins.demo import run_demo

pytestmark = pytest.mark.integration


def test_demo_gets_only_whole_answers_within_a_minute():
    """Guards against a demo that fails or takes longer than 60 s."""
    began = time.monotonic()
    assert run_demo() == 0
    assert time.monotonic() - began < 60.0
