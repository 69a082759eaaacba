"""The settings of the tree, each declared once.

The checker, ``settings explain``, the generated reference and the lookups all
derive from :data:`SETTINGS`. Values are texts in the tree; :func:`parse_value`
gives the typed value in the setting's unit.
"""

import enum
import re
from typing import NamedTuple

from . import data


class Kind(enum.Enum):
    """How the text of a value is read."""

    INTEGER = "whole number"
    DURATION = "duration"
    SIZE = "size"
    RATIO = "ratio"
    BOOLEAN = "yes or no"
    CHOICE = "choice"
    MATCH = "method and path prefix"


class Setting(NamedTuple):
    """Declaration of one setting; bounds are in ``unit``."""

    name: str
    kind: Kind
    unit: str
    default: str
    example: str
    levels: tuple[data.Level, ...]
    doc: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()


KIND_LINE = (data.Level.ROOT, data.Level.SERVICE, data.Level.KIND)
ENDPOINT_LINE = (data.Level.ROOT, data.Level.SERVICE, data.Level.ENDPOINT)
PLACE_LINE = (data.Level.ROOT, data.Level.PLACE)

PRIORITIES = ("background", "low", "normal", "high", "critical")

SETTINGS: dict[str, Setting] = {
    setting.name: setting
    for setting in (
        Setting(
            "match",
            Kind.MATCH,
            "",
            "",
            "POST /charge",
            (data.Level.KIND,),
            "The method and path prefix that make a request one of this kind.",
        ),
        Setting(
            "priority",
            Kind.CHOICE,
            "",
            "normal",
            "critical",
            KIND_LINE,
            "The class of a request. Lower classes are shed first.",
            choices=PRIORITIES,
        ),
        Setting(
            "repeatable",
            Kind.BOOLEAN,
            "",
            "no",
            "yes",
            KIND_LINE,
            "Whether running a request twice does no harm. A request that is not "
            "repeatable needs an idempotency key and runs at most once.",
        ),
        Setting(
            "deadline",
            Kind.DURATION,
            "ms",
            "2 s",
            "800 ms",
            KIND_LINE,
            "The time for the whole answer, if the caller asks for no shorter one.",
            1,
            600_000,
        ),
        Setting(
            "retries",
            Kind.INTEGER,
            "executions",
            "1",
            "2",
            KIND_LINE,
            "Executions beyond the first that one root request may cause over its "
            "whole chain of calls.",
            0,
            16,
        ),
        Setting(
            "retry_ratio",
            Kind.RATIO,
            "",
            "0.1",
            "0.2",
            (data.Level.ROOT, data.Level.SERVICE),
            "Retries towards a service as a share of its successful calls.",
            0,
            1,
        ),
        Setting(
            "max_body",
            Kind.SIZE,
            "bytes",
            "256 KiB",
            "1 MiB",
            KIND_LINE,
            "The largest request or answer body. Larger ones are refused.",
            0,
            16 * 1024 * 1024,
        ),
        Setting(
            "key_retention",
            Kind.DURATION,
            "ms",
            "10 min",
            "1 h",
            (data.Level.ROOT, data.Level.SERVICE),
            "How long an idempotency key and its answer are kept. It must be "
            "shorter than the retention of the log service.",
            1_000,
            86_400_000,
        ),
        Setting(
            "slots",
            Kind.INTEGER,
            "requests",
            "64",
            "270",
            ENDPOINT_LINE,
            "The most requests that run at an endpoint at once.",
            1,
            10_000,
        ),
        Setting(
            "concurrency",
            Kind.CHOICE,
            "",
            "adaptive",
            "static",
            ENDPOINT_LINE,
            "Whether the limit on running requests follows measured latency, "
            "stays at the slots, or is off.",
            choices=("adaptive", "static", "off"),
        ),
        Setting(
            "queue_time",
            Kind.DURATION,
            "ms",
            "50 ms",
            "20 ms",
            ENDPOINT_LINE,
            "The longest time that a request waits at the node for its endpoint.",
            0,
            10_000,
        ),
        Setting(
            "slow_start",
            Kind.DURATION,
            "ms",
            "2 s",
            "10 s",
            ENDPOINT_LINE,
            "How long a new endpoint's share of the load grows to its full size.",
            0,
            600_000,
        ),
        Setting(
            "shedding",
            Kind.CHOICE,
            "",
            "chain",
            "endpoint",
            (data.Level.ROOT, data.Level.SERVICE),
            "Where less important requests are shed first: at the top of the chain "
            "as well, at the endpoint's node only, or nowhere. With off, all "
            "classes are treated alike.",
            choices=("chain", "endpoint", "off"),
        ),
        Setting(
            "favour",
            Kind.CHOICE,
            "",
            "goodput",
            "recovery",
            (data.Level.ROOT, data.Level.SERVICE),
            "Whether admission keeps endpoints full, or sheds early so that a "
            "stall ends sooner.",
            choices=("goodput", "recovery"),
        ),
        Setting(
            "spill",
            Kind.RATIO,
            "",
            "0.7",
            "0.5",
            PLACE_LINE,
            "The load of the own availability zone's endpoints, as a share of "
            "their limits, above which calls spill to other zones.",
            0,
            1,
        ),
        Setting(
            "ejected_share",
            Kind.RATIO,
            "",
            "0.34",
            "0.5",
            PLACE_LINE,
            "The largest share of a service's endpoints that failing outcomes may "
            "take out of the balance.",
            0,
            1,
        ),
    )
}

_DURATION_UNITS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_WITH_UNIT = re.compile(r"^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$")
_MATCH = re.compile(r"^[A-Z]+ /\S*$")


class ValueRejected(NamedTuple):
    """Why a text is no value of its setting, and what is allowed."""

    kind: data.ProblemKind
    message: str
    allowed: str


def get_allowed(setting: Setting) -> str:
    """Describes the values that ``setting`` takes."""
    if setting.kind is Kind.CHOICE:
        return " | ".join(setting.choices)
    if setting.kind is Kind.BOOLEAN:
        return "yes | no"
    if setting.kind is Kind.MATCH:
        return "METHOD /path, for example " + setting.example
    unit = f" {setting.unit}" if setting.unit else ""
    return (
        f"{setting.kind.value} from {setting.minimum:g} to {setting.maximum:g}{unit}, "
        f"for example {setting.example}"
    )


def parse_value(
    setting: Setting, text: str
) -> int | float | bool | str | ValueRejected:
    """Reads the text of a value.

    :returns: the typed value, in the setting's unit, or why it is none.
    """
    if setting.kind is Kind.CHOICE:
        found = text if text in setting.choices else None
    elif setting.kind is Kind.BOOLEAN:
        found = {"yes": True, "no": False}.get(text)
    elif setting.kind is Kind.MATCH:
        found = text if _MATCH.match(text) else None
    else:
        found = _parse_number(setting, text)
    if found is None:
        message = f"{text!r} is not a {setting.kind.value}"
        return ValueRejected(data.ProblemKind.BAD_VALUE, message, get_allowed(setting))
    if setting.maximum and not setting.minimum <= found <= setting.maximum:
        message = f"{text!r} is out of range"
        return ValueRejected(
            data.ProblemKind.OUT_OF_RANGE, message, get_allowed(setting)
        )
    return found


def _parse_number(setting: Setting, text: str) -> int | float | None:
    if setting.kind is Kind.INTEGER:
        return int(text) if text.isascii() and text.isdigit() else None
    if setting.kind is Kind.RATIO:
        return float(text) if re.match(r"^\d+(\.\d+)?$", text) else None
    units = _DURATION_UNITS if setting.kind is Kind.DURATION else _SIZE_UNITS
    match = _WITH_UNIT.match(text)
    if not match or match.group(2) not in units:
        return None
    return round(float(match.group(1)) * units[match.group(2)])
