"""Exceptions of catkintiller, one type for each way in which it can fail."""

from . import data


class CatkintillerError(Exception):
    """Base class of every failure that catkintiller raises itself."""


class LogUnavailable(CatkintillerError):
    """The log service did not take the request; an append had no effect."""


class LogOutcomeUnknown(CatkintillerError):
    """The log service may or may not have taken an append."""


class LogTruncated(CatkintillerError):
    """Records after the asked offset are past the log's retention."""

    def __init__(self, wanted: int, first: int) -> None:
        super().__init__(f"offset {wanted} is gone, the log starts at {first}")
        self.first = first


class SettingsInvalid(CatkintillerError):
    """A settings text has problems; ``problems`` holds all of them."""

    def __init__(self, problems: list[data.Problem]) -> None:
        super().__init__(f"{len(problems)} problems in the settings")
        self.problems = problems


class CallRefused(CatkintillerError):
    """A call was refused or failed; ``refusal`` says why and whether it ran."""

    def __init__(self, refusal: data.Refusal) -> None:
        super().__init__(f"{refusal.reason.value} (ran: {refusal.ran.value})")
        self.refusal = refusal


class MessageRejected(CatkintillerError):
    """A message between nodes was malformed, foreign or wrongly signed."""


class NodeUnreachable(CatkintillerError):
    """The operator's node did not answer."""
