"""Tests of the sum of the demand that peers report."""

from . import peer_demand

KEY = ("pay", 0)
OTHER_KEY = ("stock", 2)


class TestPeerDemand:
    """A sum that is not recomputed may keep what is no longer reported."""

    def test_sum_of_several_peers(self) -> None:
        totals = peer_demand.PeerDemand()
        totals.update({"a": {KEY: 1500, OTHER_KEY: 10}, "b": {KEY: 500}})
        assert totals.totals == {KEY: 2000, OTHER_KEY: 10}
        assert totals.report_count == 2

    def test_new_report_replaces_the_previous_one(self) -> None:
        totals = peer_demand.PeerDemand()
        unchanged = {KEY: 7}
        totals.update({"a": {KEY: 1500, OTHER_KEY: 10}, "b": unchanged})
        totals.update({"a": {KEY: 200}, "b": unchanged})
        assert totals.totals == {KEY: 207}

    def test_peer_that_no_longer_counts(self) -> None:
        totals = peer_demand.PeerDemand()
        kept = {KEY: 500}
        totals.update({"a": {KEY: 1500, OTHER_KEY: 10}, "b": kept})
        totals.update({"b": kept})
        assert totals.totals == {KEY: 500}
        assert totals.report_count == 1

    def test_peer_that_returns_with_its_last_report(self) -> None:
        totals = peer_demand.PeerDemand()
        report = {KEY: 1500}
        totals.update({"a": report})
        totals.update({})
        assert totals.totals == {}
        totals.update({"a": report})
        assert totals.totals == {KEY: 1500}

    def test_equals_the_sum_over_all_after_many_updates(self) -> None:
        totals = peer_demand.PeerDemand()
        reports: dict[str, peer_demand.SlotDemand] = {}
        for step in range(200):
            reports = dict(reports)
            reports[f"peer-{step % 7}"] = {KEY: step * 13 % 11, OTHER_KEY: step % 3}
            if step % 5 == 0:
                reports.pop(f"peer-{(step + 3) % 7}", None)
            totals.update(reports)
        for key in (KEY, OTHER_KEY):
            expected = sum(report[key] for report in reports.values())
            assert totals.totals.get(key, 0) == expected
