"""Exceptions of catkintiller."""

from . import data


class CatkintillerError(Exception):
    """Base class of the exceptions of catkintiller."""


class LogUnavailable(CatkintillerError):
    """The log service did not process a request; an append had no effect."""


class LogOutcomeUnknown(CatkintillerError):
    """It is unknown whether the log service executed an append."""


class LogTruncated(CatkintillerError):
    """Records from the requested offset on are no longer retained by the log.

    ``first`` is the first offset that is available.
    """

    def __init__(self, requested: int, first: int) -> None:
        super().__init__(
            f"offset {requested} is no longer retained; the log starts at {first}"
        )
        self.first = first


class SettingsInvalid(CatkintillerError):
    """Settings are invalid; ``problems`` contains all problems."""

    def __init__(self, problems: list[data.Problem]) -> None:
        super().__init__(f"the settings are invalid: {len(problems)} problems")
        self.problems = problems


class CallRefused(CatkintillerError):
    """A call was refused or failed.

    ``refusal`` has the reason and whether the call was executed.
    """

    def __init__(self, refusal: data.Refusal) -> None:
        super().__init__(f"{refusal.reason.value} (ran: {refusal.ran.value})")
        self.refusal = refusal


class MessageRejected(CatkintillerError):
    """A message between nodes was malformed or its authentication failed."""


class NodeUnreachable(CatkintillerError):
    """The node that an operator's command addresses did not respond."""
