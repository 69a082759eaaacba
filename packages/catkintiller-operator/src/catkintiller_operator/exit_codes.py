"""Exit statuses of the command line and how failures become them."""

import sys
from collections.abc import Callable
from typing import NoReturn

from catkintiller import errors, validate

OK = 0
FAULT_FOUND = 1
INVALID_INPUT = 2
CONFLICT = 3
LOG_UNAVAILABLE = 4
OUTCOME_UNKNOWN = 5
NODE_UNREACHABLE = 6


def run_and_exit(action: Callable[[], int]) -> NoReturn:
    """Runs an action and exits with its status, or with that of its failure."""
    try:
        status = action()
    except errors.SettingsInvalid as error:
        for problem in error.problems:
            print(validate.format_problem(problem), file=sys.stderr)
        status = INVALID_INPUT
    except errors.LogUnavailable as error:
        print(f"the log service does not answer: {error}", file=sys.stderr)
        status = LOG_UNAVAILABLE
    except errors.NodeUnreachable as error:
        print(f"the node does not answer: {error}", file=sys.stderr)
        status = NODE_UNREACHABLE
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        status = INVALID_INPUT
    sys.exit(status)
