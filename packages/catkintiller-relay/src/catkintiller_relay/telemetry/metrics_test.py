"""Tests of the figures of a node."""

from . import metrics


class TestText:
    """The text that metrics servers read."""

    def test_counters_add_up(self) -> None:
        own = metrics.Metrics()
        own.count("answers", 'status="200"')
        own.count("answers", 'status="200"')
        assert 'catkintiller_answers_total{status="200"} 2\n' in own.format_text()

    def test_levels_keep_their_last_value(self) -> None:
        own = metrics.Metrics()
        own.set_gauge("config_version", "", 7)
        own.set_gauge("config_version", "", 5)
        assert "catkintiller_config_version 5\n" in own.format_text()

    def test_latencies_have_quantiles(self) -> None:
        own = metrics.Metrics()
        for number in range(1, 101):
            own.record_latency("queue", 'service="a"', number / 1000)
        lines = own.format_text().splitlines()
        found = dict(line.rsplit(" ", 1) for line in lines)
        median = float(found['catkintiller_queue_seconds{service="a",quantile="0.5"}'])
        assert 0.049 < median < 0.052
        assert found['catkintiller_queue_seconds_count{service="a"}'] == "100"

    def test_what_is_out_of_range_is_kept_at_its_end(self) -> None:
        own = metrics.Metrics()
        own.record_latency("queue", "", -1.0)
        own.record_latency("queue", "", 1e9)
        assert "catkintiller_queue_seconds_count 2" in own.format_text()
