"""Declarations of all settings of the settings tree.

Validation, ``settings explain``, the generated reference and lookups are all derived
from :data:`SETTINGS`. The tree stores values as texts; :func:`parse_value` converts
one to a typed value in the unit of the setting.
"""

import enum
import re
from typing import NamedTuple

from . import data


class ValueType(enum.Enum):
    """Type of the value of a setting; determines how its text is parsed."""

    INTEGER = "whole number"
    DURATION = "duration"
    SIZE = "size"
    RATIO = "ratio"
    BOOLEAN = "yes or no"
    CHOICE = "choice"
    MATCH = "method and path prefix"


class Setting(NamedTuple):
    """Declaration of one setting.

    ``minimum`` and ``maximum`` are in ``unit``; a ``maximum`` of 0 means that the value
    is not checked against bounds. ``levels`` are the levels of the tree where the
    setting may be set, and ``doc`` is its text in the generated reference.
    """

    name: str
    value_type: ValueType
    unit: str
    default: str
    example: str
    levels: tuple[data.Level, ...]
    doc: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()


KIND_LEVELS = (data.Level.ROOT, data.Level.SERVICE, data.Level.KIND)
ENDPOINT_LEVELS = (data.Level.ROOT, data.Level.SERVICE, data.Level.ENDPOINT)
PLACE_LEVELS = (data.Level.ROOT, data.Level.PLACE)

PRIORITIES = ("background", "low", "normal", "high", "critical")

SETTINGS: dict[str, Setting] = {
    setting.name: setting
    for setting in (
        Setting(
            "match",
            ValueType.MATCH,
            "",
            "",
            "POST /charge",
            (data.Level.KIND,),
            "The method and path prefix of requests of this kind.",
        ),
        Setting(
            "priority",
            ValueType.CHOICE,
            "",
            "normal",
            "critical",
            KIND_LEVELS,
            "The priority class of a request. Lower classes are shed first.",
            choices=PRIORITIES,
        ),
        Setting(
            "repeatable",
            ValueType.BOOLEAN,
            "",
            "no",
            "yes",
            KIND_LEVELS,
            "Whether a request is idempotent, so that it may be executed twice. One "
            "that is not needs an idempotency key and is executed at most once.",
        ),
        Setting(
            "deadline",
            ValueType.DURATION,
            "ms",
            "2 s",
            "800 ms",
            KIND_LEVELS,
            "The time until the complete response, if the caller sets no shorter one.",
            1,
            600_000,
        ),
        Setting(
            "retries",
            ValueType.INTEGER,
            "executions",
            "1",
            "2",
            KIND_LEVELS,
            "The retry budget of a root request: executions beyond the first, in total "
            "over all its nested calls.",
            0,
            16,
        ),
        Setting(
            "retry_ratio",
            ValueType.RATIO,
            "",
            "0.1",
            "0.2",
            (data.Level.ROOT, data.Level.SERVICE),
            "Largest ratio of retries to successful calls of a service.",
            0,
            1,
        ),
        Setting(
            "max_body",
            ValueType.SIZE,
            "bytes",
            "256 KiB",
            "1 MiB",
            KIND_LEVELS,
            "The largest body of a request or response. Larger ones are refused.",
            0,
            16 * 1024 * 1024,
        ),
        Setting(
            "key_retention",
            ValueType.DURATION,
            "ms",
            "10 min",
            "1 h",
            (data.Level.ROOT, data.Level.SERVICE),
            "How long an idempotency key and its response are retained. It must be "
            "shorter than the retention of the log service.",
            1_000,
            86_400_000,
        ),
        Setting(
            "slots",
            ValueType.INTEGER,
            "requests",
            "64",
            "270",
            ENDPOINT_LEVELS,
            "The largest number of requests that run at an endpoint at once.",
            1,
            10_000,
        ),
        Setting(
            "concurrency",
            ValueType.CHOICE,
            "",
            "adaptive",
            "static",
            ENDPOINT_LEVELS,
            "Whether the limit on running requests is adapted to the measured latency, "
            "is constant at the number of slots, or is off.",
            choices=("adaptive", "static", "off"),
        ),
        Setting(
            "queue_time",
            ValueType.DURATION,
            "ms",
            "50 ms",
            "20 ms",
            ENDPOINT_LEVELS,
            "The longest time that a request waits at the node for its endpoint.",
            0,
            10_000,
        ),
        Setting(
            "slow_start",
            ValueType.DURATION,
            "ms",
            "2 s",
            "10 s",
            ENDPOINT_LEVELS,
            "The time in which a new endpoint's load grows to its full share.",
            0,
            600_000,
        ),
        Setting(
            "shedding",
            ValueType.CHOICE,
            "",
            "chain",
            "endpoint",
            (data.Level.ROOT, data.Level.SERVICE),
            "Where requests of lower priority are shed first: at the node where the "
            "root request arrives as well (chain), only at the endpoint's node "
            "(endpoint), or nowhere (off). With off, all classes are treated alike.",
            choices=("chain", "endpoint", "off"),
        ),
        Setting(
            "favour",
            ValueType.CHOICE,
            "",
            "goodput",
            "recovery",
            (data.Level.ROOT, data.Level.SERVICE),
            "Whether admission control keeps endpoints fully utilized (goodput), or "
            "sheds load early so that a stall ends sooner (recovery).",
            choices=("goodput", "recovery"),
        ),
        Setting(
            "spill",
            ValueType.RATIO,
            "",
            "0.7",
            "0.5",
            PLACE_LEVELS,
            "The utilization of the endpoints in the own availability zone, as a ratio "
            "of their limits, above which calls are also sent to other zones.",
            0,
            1,
        ),
        Setting(
            "ejected_share",
            ValueType.RATIO,
            "",
            "0.34",
            "0.5",
            PLACE_LEVELS,
            "The largest ratio of a service's endpoints that may be ejected at a time "
            "because their calls fail (outlier ejection).",
            0,
            1,
        ),
    )
}

_MS_BY_DURATION_UNIT = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
_BYTES_BY_SIZE_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_NUMBER_WITH_UNIT_PATTERN = re.compile(r"^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$")
_MATCH_PATTERN = re.compile(r"^[A-Z]+ /\S*$")


class InvalidValue(NamedTuple):
    """Why a text is not a valid value of its setting, and which values are."""

    kind: data.ProblemKind
    message: str
    allowed: str


def describe_allowed_values(setting: Setting) -> str:
    """Describes the values that ``setting`` allows."""
    if setting.value_type is ValueType.CHOICE:
        return " | ".join(setting.choices)
    if setting.value_type is ValueType.BOOLEAN:
        return "yes | no"
    if setting.value_type is ValueType.MATCH:
        return "METHOD /path, for example " + setting.example
    unit = f" {setting.unit}" if setting.unit else ""
    return (
        f"{setting.value_type.value} from {setting.minimum:g} "
        f"to {setting.maximum:g}{unit}, "
        f"for example {setting.example}"
    )


def parse_value(setting: Setting, text: str) -> int | float | bool | str | InvalidValue:
    """Parses the text of a value.

    :returns: the typed value in the setting's unit, or why the text is invalid.
    """
    if setting.value_type is ValueType.CHOICE:
        value = text if text in setting.choices else None
    elif setting.value_type is ValueType.BOOLEAN:
        value = {"yes": True, "no": False}.get(text)
    elif setting.value_type is ValueType.MATCH:
        value = text if _MATCH_PATTERN.match(text) else None
    else:
        value = _parse_number(setting, text)
    if value is None:
        message = f"{text!r} is not a {setting.value_type.value}"
        return InvalidValue(
            data.ProblemKind.BAD_VALUE, message, describe_allowed_values(setting)
        )
    if setting.maximum and not setting.minimum <= value <= setting.maximum:
        message = f"{text!r} is out of range"
        return InvalidValue(
            data.ProblemKind.OUT_OF_RANGE, message, describe_allowed_values(setting)
        )
    return value


def _parse_number(setting: Setting, text: str) -> int | float | None:
    if setting.value_type is ValueType.INTEGER:
        return int(text) if text.isascii() and text.isdigit() else None
    if setting.value_type is ValueType.RATIO:
        return float(text) if re.match(r"^\d+(\.\d+)?$", text) else None
    units = (
        _MS_BY_DURATION_UNIT
        if setting.value_type is ValueType.DURATION
        else _BYTES_BY_SIZE_UNIT
    )
    match = _NUMBER_WITH_UNIT_PATTERN.match(text)
    if not match or match.group(2) not in units:
        return None
    return round(float(match.group(1)) * units[match.group(2)])
