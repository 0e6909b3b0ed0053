"""Record of recent requests."""

from builders_decision import make_request, make_settings
from limpetusher.core.request.explanation import MAXIMUM_STEPS, Explanations, Step


def test_records_and_steps_are_bounded():
    """Guards against memory that grows with requests, or with one request that is granted again and again."""
    explanations = Explanations(make_settings(explanation_records=2))
    for name in ("r1", "r2", "r3"):
        explanations.begin(make_request(name), 0.0)
    assert explanations.get("r1") is None
    for _ in range(2 * MAXIMUM_STEPS):
        explanations.add("r3", 1.0, Step.GRANT_RETURNED)
    explanations.add("r3", 2.0, Step.REFUSED)
    steps = explanations.get("r3").steps
    assert len(steps) == MAXIMUM_STEPS
    assert steps[-1].step is Step.REFUSED
