"""Notices: what the head of a response says about its endpoint.

An endpoint may name the rate of requests that it accepts, and that it is about to
leave, in any response, whatever its status.
"""

import re
from collections.abc import Iterable
from typing import NamedTuple

from .. import data

MISDIRECTED_REQUEST_STATUS = 421

_RATE_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_LEAVING_VALUES = {b"0": False, b"1": True}

Headers = Iterable[tuple[bytes, bytes]]


class Notice(NamedTuple):
    """What one response says about its endpoint.

    :param rate_limit: requests per second that the endpoint accepts from all nodes
        together; None if it names no limit.
    :param is_leaving: whether the endpoint is about to leave.
    :param invalid_values: values that were ignored.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    invalid_values: tuple[bytes, ...] = ()


NO_NOTICE = Notice()


def parse_notice(headers: Headers, names: data.HeaderNames) -> Notice:
    """Parses the notice in the headers of a response.

    A header that occurs twice, or whose value has another form, is ignored.

    :param headers: names, in any case, and values.
    """
    limits = []
    leaving = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == names.rate_limit:
            limits.append(value.strip())
        elif lower_name == names.leaving:
            leaving.append(value.strip())
    if not limits and not leaving:
        return NO_NOTICE
    rate_limit = None
    is_leaving = False
    invalid_values = []
    if len(limits) == 1 and _RATE_PATTERN.fullmatch(limits[0]):
        rate_limit = float(limits[0])
    else:
        invalid_values += limits
    if len(leaving) == 1 and leaving[0] in _LEAVING_VALUES:
        is_leaving = _LEAVING_VALUES[leaving[0]]
    else:
        invalid_values += leaving
    return Notice(rate_limit, is_leaving, tuple(invalid_values))
