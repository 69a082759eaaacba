"""The deployments that the emulator plays: services, kinds of request, load.

A tenth of the users' rates and slots, so that a run takes seconds.
"""

from typing import NamedTuple


class Service(NamedTuple):
    """A service.

    :param slots: requests that each endpoint runs at once.
    :param speeds: factors on the time that work takes, one for each endpoint.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]


class Call(NamedTuple):
    """Calls that a request makes before its own work is done.

    :param together: whether they are sent at once, else one after the other.
    """

    kind: str
    times: int
    together: bool


class Kind(NamedTuple):
    """A kind of request.

    :param rate: requests of clients a second; 0 for calls of endpoints.
    :param work_s: mean time at an endpoint of speed 1, calls excluded.
    :param limit_s: time after which its sender does not wait any more.
    """

    name: str
    service: str
    rank: int
    rate: float
    work_s: float
    target_s: float
    limit_s: float
    calls: tuple[Call, ...] = ()


class Load(NamedTuple):
    """Stages of the load: factors on all rates, each until a time."""

    stages: tuple[tuple[float, float], ...]

    def get_factor(self, now: float) -> float:
        """Gets the factor at a time."""
        for until, factor in self.stages:
            if now < until:
                return factor
        return 0.0


class Shape(NamedTuple):
    """A deployment."""

    name: str
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]


GUNSTOCK = Shape(
    "gunstock",
    (
        Service("quotes", 24, (0.7, 0.7, 1.6, 1.0)),
        Service("deposits", 32, (0.6, 1.0, 1.4)),
        Service("bays", 32, (0.5, 1.0, 1.5)),
        Service("workshop", 5, (0.6, 1.0, 1.4)),
    ),
    (
        Kind("lookup", "quotes", 2, 43.0, 0.09, 1.2, 5.0, (Call("ledger", 2, True),)),
        Kind(
            "deposit", "deposits", 0, 16.0, 0.12, 1.5, 0.8, (Call("calendar", 2, True),)
        ),
        Kind("booking", "bays", 2, 8.0, 0.072, 0.3, 1.2),
        Kind("status", "workshop", 1, 12.0, 0.036, 0.15, 0.6),
        Kind(
            "ledger", "deposits", 2, 0.0, 0.015, 1.0, 2.5, (Call("calendar", 1, False),)
        ),
        Kind("calendar", "bays", 2, 0.0, 0.015, 0.8, 2.0, (Call("notes", 4, False),)),
        Kind("notes", "workshop", 2, 0.0, 0.022, 0.3, 0.7),
    ),
)

CALDER_REACH = Shape(
    "calder-reach",
    (
        Service("report-desk", 19, (0.6, 1.0, 1.4, 1.0)),
        Service("dispatch", 25, (0.5, 1.0, 1.5)),
        Service("closures", 25, (0.6, 1.0, 1.4)),
        Service("condition-map", 8, (0.7, 0.7, 1.6)),
    ),
    (
        Kind(
            "lookup",
            "report-desk",
            2,
            35.0,
            0.16,
            1.5,
            1.0,
            (Call("roster", 1, False),),
        ),
        Kind(
            "order", "dispatch", 0, 13.0, 0.21, 2.0, 1.2, (Call("history", 1, False),)
        ),
        Kind("closure", "closures", 2, 5.0, 0.13, 0.4, 1.5),
        Kind("map", "condition-map", 1, 9.0, 0.064, 0.2, 0.8),
        Kind(
            "roster", "dispatch", 2, 0.0, 0.015, 1.2, 3.0, (Call("history", 1, False),)
        ),
        Kind(
            "history", "closures", 2, 0.0, 0.015, 1.2, 2.5, (Call("asset", 5, False),)
        ),
        Kind("asset", "condition-map", 2, 0.0, 0.04, 0.3, 0.7),
    ),
)

SHAPES = {shape.name: shape for shape in (GUNSTOCK, CALDER_REACH)}
