"""Deployments that the emulator runs: services, kinds of requests, load profiles.

Rates and slots are a tenth of those in production, so that a run takes seconds.
"""

from typing import NamedTuple


class Service(NamedTuple):
    """A service and its endpoints.

    :param slots: requests that each endpoint runs at once.
    :param time_factors: for each endpoint, the factor on the time of its work; a slow
        endpoint has a factor above 1.
    """

    name: str
    slots: int
    time_factors: tuple[float, ...]


class NestedCall(NamedTuple):
    """Nested calls that a request makes before its own work begins.

    :param kind: kind of the calls.
    :param call_count: number of the calls.
    :param concurrent: whether they are sent concurrently or one after another.
    """

    kind: str
    call_count: int
    concurrent: bool


class RequestKind(NamedTuple):
    """A kind of request.

    :param rank: importance, 0 is the highest.
    :param rate_per_s: root requests per second; 0 for kinds of nested calls.
    :param mean_work_s: mean work at an endpoint with factor 1, nested calls excluded.
    :param target_latency_s: latency within which a response counts as in target.
    :param timeout_s: time after which the sender no longer waits.
    """

    name: str
    service: str
    rank: int
    rate_per_s: float
    mean_work_s: float
    target_latency_s: float
    timeout_s: float
    nested_calls: tuple[NestedCall, ...] = ()


class LoadProfile(NamedTuple):
    """Factors on the rates of all kinds over time.

    :param stages: end of each stage in seconds, and the factor up to then.
    """

    stages: tuple[tuple[float, float], ...]

    def get_factor(self, now_s: float) -> float:
        """Returns the factor at a time; 0 after the last stage."""
        for end_s, factor in self.stages:
            if now_s < end_s:
                return factor
        return 0.0


class Deployment(NamedTuple):
    """Services and the kinds of requests that they receive."""

    name: str
    services: tuple[Service, ...]
    kinds: tuple[RequestKind, ...]


GUNSTOCK = Deployment(
    "gunstock",
    (
        Service("quotes", 24, (0.7, 0.7, 1.6, 1.0)),
        Service("deposits", 32, (0.6, 1.0, 1.4)),
        Service("bays", 32, (0.5, 1.0, 1.5)),
        Service("workshop", 5, (0.6, 1.0, 1.4)),
    ),
    (
        RequestKind(
            "lookup",
            "quotes",
            2,
            43.0,
            0.09,
            1.2,
            5.0,
            (NestedCall("ledger", 2, True),),
        ),
        RequestKind(
            "deposit",
            "deposits",
            0,
            16.0,
            0.12,
            1.5,
            0.8,
            (NestedCall("calendar", 2, True),),
        ),
        RequestKind("booking", "bays", 2, 8.0, 0.072, 0.3, 1.2),
        RequestKind("status", "workshop", 1, 12.0, 0.036, 0.15, 0.6),
        RequestKind(
            "ledger",
            "deposits",
            2,
            0.0,
            0.015,
            1.0,
            2.5,
            (NestedCall("calendar", 1, False),),
        ),
        RequestKind(
            "calendar",
            "bays",
            2,
            0.0,
            0.015,
            0.8,
            2.0,
            (NestedCall("notes", 4, False),),
        ),
        RequestKind("notes", "workshop", 2, 0.0, 0.022, 0.3, 0.7),
    ),
)

CALDER_REACH = Deployment(
    "calder-reach",
    (
        Service("report-desk", 19, (0.6, 1.0, 1.4, 1.0)),
        Service("dispatch", 25, (0.5, 1.0, 1.5)),
        Service("closures", 25, (0.6, 1.0, 1.4)),
        Service("condition-map", 8, (0.7, 0.7, 1.6)),
    ),
    (
        RequestKind(
            "lookup",
            "report-desk",
            2,
            35.0,
            0.16,
            1.5,
            1.0,
            (NestedCall("roster", 1, False),),
        ),
        RequestKind(
            "order",
            "dispatch",
            0,
            13.0,
            0.21,
            2.0,
            1.2,
            (NestedCall("history", 1, False),),
        ),
        RequestKind("closure", "closures", 2, 5.0, 0.13, 0.4, 1.5),
        RequestKind("map", "condition-map", 1, 9.0, 0.064, 0.2, 0.8),
        RequestKind(
            "roster",
            "dispatch",
            2,
            0.0,
            0.015,
            1.2,
            3.0,
            (NestedCall("history", 1, False),),
        ),
        RequestKind(
            "history",
            "closures",
            2,
            0.0,
            0.015,
            1.2,
            2.5,
            (NestedCall("asset", 5, False),),
        ),
        RequestKind("asset", "condition-map", 2, 0.0, 0.04, 0.3, 0.7),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (GUNSTOCK, CALDER_REACH)}
