"""Command that runs a node on a VM whose platform provides a store."""

import signal
import sys


def main() -> int:
    """Runs the node until SIGTERM or SIGINT stops it.

    SIGHUP ends a process without a handler. It is ignored until the node has one: the
    settings are read during the start in any case. The other modules take most of the
    time of the start, so they are imported afterwards.

    :returns: the exit status of the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import process

    return process.run_node()


if __name__ == "__main__":
    sys.exit(main())
