"""Tests of the metrics of the router process."""

from limpetusher_router.process.metrics import MAXIMUM_LABEL_SETS, OTHER_LABEL, Metrics


def test_labelled_counters_have_bounded_label_sets():
    """Guards against memory use that grows with each new customer or target."""
    metrics = Metrics()
    for number in range(MAXIMUM_LABEL_SETS + 50):
        metrics.increment_labelled(metrics.failures, target=f"t{number}", reason="cut")
    text = metrics.render()[0].decode()
    assert 'limpetusher_attempts_failed_total{reason="cut",target="t0"} 1' in text
    assert f'limpetusher_attempts_failed_total{{reason="{OTHER_LABEL}",target="{OTHER_LABEL}"}} 50' in text
