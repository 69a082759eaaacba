"""Exit codes of the command line, and the exceptions that lead to them."""

import sys
from collections.abc import Callable
from typing import NoReturn

from catkintiller import errors, validation
from catkintiller_relay import data

OK = 0
FAULT_FOUND = 1  # also if no config, route, metric or log line is found
INVALID_INPUT = 2  # settings, paths, configs or files
CONFLICT = 3
LOG_UNAVAILABLE = 4
OUTCOME_UNKNOWN = 5
NODE_UNREACHABLE = 6


def run_and_exit(command: Callable[[], int]) -> NoReturn:
    """Runs a command and exits with its exit code, or with that of its exception."""
    try:
        exit_code = command()
    except errors.SettingsInvalid as error:
        for problem in error.problems:
            print(validation.format_problem(problem), file=sys.stderr)
        exit_code = INVALID_INPUT
    except errors.LogUnavailable as error:
        print(f"log service or store unavailable: {error}", file=sys.stderr)
        exit_code = LOG_UNAVAILABLE
    except errors.NodeUnreachable as error:
        print(f"node unreachable: {error}", file=sys.stderr)
        exit_code = NODE_UNREACHABLE
    except data.DecodeError as error:
        print(error, file=sys.stderr)
        exit_code = INVALID_INPUT
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        exit_code = INVALID_INPUT
    sys.exit(exit_code)
