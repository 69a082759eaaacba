"""The ``catkintillerd`` command: runs or checks one node."""

import logging
import sys

import aiomisc
import defopt
import uvloop
from catkintiller import errors, validation
from pythonjsonlogger.json import JsonFormatter

from . import config, control, node

EXIT_INVALID_SETTINGS = 2


def serve(settings: str, *, check: bool = False, log_level: str = "info") -> None:
    """Runs the node beside an endpoint until it is stopped.

    :param settings: INI file with the section [node].
    :param check: only validate the file, print all problems, and exit.
    :param log_level: debug, info, warning or error.
    """
    try:
        loaded = config.load_config(settings)
    except OSError as error:
        print(f"{settings}: cannot be read: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    except errors.SettingsInvalid as error:
        for problem in error.problems:
            print(validation.format_problem(problem), file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        print(f"{settings}: good")
        return
    configure_logging(log_level)
    with aiomisc.entrypoint(
        node.Node(
            loaded, lambda local_node: control.ControlDispatcher(local_node).handle
        ),
        log_config=False,
        pool_size=2,
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_forever()


def configure_logging(level: str) -> None:
    """Configures logging to standard output, one JSON document a line."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


def main() -> None:
    """Entry point of ``catkintillerd``."""
    defopt.run(serve)


if __name__ == "__main__":
    main()
