"""Tests of the metrics of a node."""

import random

from hdrh import histogram

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

    def test_latencies_are_rounded_as_in_the_histogram(self) -> None:
        """Guards against quantiles that differ from those of the single values."""
        latencies = histogram.HdrHistogram(
            metrics.MIN_LATENCY_US,
            metrics.MAX_LATENCY_US,
            metrics.SIGNIFICANT_DIGIT_COUNT,
        )
        rng = random.Random(1)
        samples = [int(10 ** rng.uniform(0.0, 7.7)) for _ in range(3000)]
        for latency_us in [*range(1, 1100), *samples]:
            lowest_us = latencies.get_lowest_equivalent_value(latency_us)
            assert metrics.round_latency_us(latency_us) == lowest_us

    def test_latencies_after_a_read_are_added(self) -> None:
        node_metrics = metrics.Metrics()
        node_metrics.record_latency("queue", "", 0.1)
        first_text = node_metrics.format_text()
        assert node_metrics.format_text() == first_text
        node_metrics.record_latency("queue", "", 0.1)
        assert "catkintiller_queue_seconds_count 2\n" in node_metrics.format_text()

    def test_latencies_out_of_range_are_counted(self) -> None:
        node_metrics = metrics.Metrics()
        node_metrics.record_latency("queue", "", -1.0)
        node_metrics.record_latency("queue", "", 1e9)
        assert "catkintiller_queue_seconds_count 2" in node_metrics.format_text()
