"""Runs the bare forwarder with which the latency of nodes is compared."""

import sys

from . import latency

if __name__ == "__main__":
    latency.serve_forwarder(sys.argv[1], int(sys.argv[2]))
