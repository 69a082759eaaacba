"""Tests of the metrics of a node."""

from . import metrics


class TestText:
    """The text format of the metrics."""

    def test_counters_add_up(self) -> None:
        node_metrics = metrics.Metrics()
        node_metrics.count("answers", 'status="200"')
        node_metrics.count("answers", 'status="200"')
        assert (
            'catkintiller_answers_total{status="200"} 2\n' in node_metrics.format_text()
        )

    def test_gauges_keep_their_last_value(self) -> None:
        node_metrics = metrics.Metrics()
        node_metrics.set_gauge("config_version", "", 7)
        node_metrics.set_gauge("config_version", "", 5)
        assert "catkintiller_config_version 5\n" in node_metrics.format_text()

    def test_latencies_have_quantiles(self) -> None:
        node_metrics = metrics.Metrics()
        for number in range(1, 101):
            node_metrics.record_latency("queue", 'service="a"', number / 1000)
        lines = node_metrics.format_text().splitlines()
        values = dict(line.rsplit(" ", 1) for line in lines)
        median = float(values['catkintiller_queue_seconds{service="a",quantile="0.5"}'])
        assert 0.049 < median < 0.052
        assert values['catkintiller_queue_seconds_count{service="a"}'] == "100"

    def test_latencies_out_of_range_are_counted(self) -> None:
        node_metrics = metrics.Metrics()
        node_metrics.record_latency("queue", "", -1.0)
        node_metrics.record_latency("queue", "", 1e9)
        assert "catkintiller_queue_seconds_count 2" in node_metrics.format_text()
