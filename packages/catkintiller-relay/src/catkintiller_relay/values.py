"""Parses values that settings and configs give as text."""

import ipaddress
import math
import re

from . import data

MAX_PORT = 65535
_PORT_PATTERN = re.compile(r"[1-9][0-9]{0,4}")
# Fifteen digits are far more than any time needs, and the number stays finite.
_DURATION_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]+)?)(ms|s)")


def parse_duration(text: object, where: str = "") -> float:
    """Parses a duration such as ``1500ms`` or ``2.5s`` into seconds.

    :param where: entry that has the value, named in the error; empty for none.
    :raises data.DecodeError: if the value is not a duration of this form.
    """
    match = _DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        place = f"{where}: " if where else ""
        raise data.DecodeError(f"{place}invalid duration {text!r}")
    value = float(match.group(1))
    return value / 1000 if match.group(2) == "ms" else value


def is_address(text: str) -> bool:
    """Returns whether a text has the form ``IP:PORT`` with a port that can be used.

    Event loops take a port that is too large for another one, without an error.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return _PORT_PATTERN.fullmatch(port) is not None and int(port) <= MAX_PORT


def parse_number(text: str) -> float:
    """Parses a number.

    :raises data.DecodeError: if the text is not a number, or one that is not finite.
    """
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise data.DecodeError(f"invalid number {text!r}")
    return number


def parse_flag(text: str) -> bool:
    """Parses ``true`` or ``false``.

    :raises data.DecodeError: if the text is neither of them.
    """
    if text not in ("true", "false"):
        raise data.DecodeError(f"invalid flag {text!r}")
    return text == "true"
