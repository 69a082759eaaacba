"""Converts what nodes tell each other about crashes into messages and back."""

from ..crashes import crash_history
from . import frames

MAX_SUSPECTS = 256


def build_message(report: crash_history.CrashReport) -> frames.CrashReport:
    """Builds the message for a report; the first suspects are the newest ones."""
    return frames.CrashReport(
        report.crash_id,
        report.service,
        list(report.suspects[:MAX_SUSPECTS]),
        [
            (block.fingerprint, round(block.remaining_s * 1000), block.count)
            for block in report.blocks
        ],
    )


def parse_message(message: frames.CrashReport) -> crash_history.CrashReport:
    """Parses a message into a report."""
    return crash_history.CrashReport(
        message.crash_id,
        message.service,
        tuple(message.suspects),
        tuple(
            crash_history.BlockRecord(fingerprint, remaining_ms / 1000, count)
            for fingerprint, remaining_ms, count in message.blocks
        ),
    )
