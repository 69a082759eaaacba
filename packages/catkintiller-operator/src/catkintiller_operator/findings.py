"""What the check of a config finds."""

from typing import NamedTuple

ERROR = "error"
WARNING = "warning"
CHANGE = "change"


class Finding(NamedTuple):
    """Result of the check.

    :param kind: :data:`ERROR`, :data:`WARNING` or :data:`CHANGE`.
    :param where: entry of the config.
    """

    kind: str
    where: str
    what: str
