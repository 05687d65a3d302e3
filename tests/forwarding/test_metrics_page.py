"""Text of the metrics page: counters, gauges and quantiles."""

from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import metrics_page


def test_counters_gauges_and_quantiles_are_rendered():
    metrics = metrics_lib.Metrics()
    metrics.count("request.sent", 3)
    metrics.time("first_event", 0.25)
    text = metrics_page.render(metrics, {"pool_a-b_waiting": 2})
    assert "lentilbeam_request_sent_total 3\n" in text
    assert "lentilbeam_pool_a_b_waiting 2\n" in text
    assert 'lentilbeam_first_event_seconds{quantile="0.5"} 0.2' in text
    assert "lentilbeam_first_event_seconds_count 1\n" in text
