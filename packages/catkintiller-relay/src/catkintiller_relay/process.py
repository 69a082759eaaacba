"""The process of a node on a VM whose platform provides a store."""

import asyncio
import gc
import sys

import uvloop
from catkintiller_platform import adapter

from . import data, node
from .telemetry import events

EXIT_INVALID_SETTINGS = 2
GC_THRESHOLD = 50_000


def run_node() -> int:
    """Runs the node until SIGTERM or SIGINT stops it.

    :returns: the exit status of the process.
    """
    platform = adapter.PlatformAdapter()
    try:
        settings = platform.load_settings()
    except (OSError, KeyError, data.DecodeError) as error:
        print(f"settings could not be loaded: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    log = events.EventLog(settings.node)
    try:
        loop.run_until_complete(node.Node(platform, settings, loop, log).run())
    finally:
        log.flush()
        loop.close()
    return 0
