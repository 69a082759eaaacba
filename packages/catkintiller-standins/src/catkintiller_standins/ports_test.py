"""Tests of the ports for test deployments."""

import subprocess
import sys

from . import ports

PROCESS_COUNT = 6
PORTS_OF_A_PROCESS = 150  # more than a block
CLAIM = (
    "import sys; from catkintiller_standins import ports;"
    f"print(*ports.claim_ports({PORTS_OF_A_PROCESS}), flush=True); sys.stdin.read()"
)


class TestClaimPorts:
    """Ports of several processes that start deployments."""

    def test_processes_that_start_together_get_different_ports(self) -> None:
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", CLAIM],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESS_COUNT)
        ]
        claimed = [process.stdout.readline().split() for process in processes]
        for process in processes:
            process.communicate()
        distinct = {port for each in claimed for port in each}
        assert len(distinct) == PROCESS_COUNT * PORTS_OF_A_PROCESS

    def test_port_is_given_once(self) -> None:
        first, second = ports.claim_ports(3), ports.claim_ports(3)
        assert not set(first) & set(second)

    def test_port_in_use_is_passed_over(self) -> None:
        (port,) = ports.claim_ports(1)
        assert ports.is_port_free(ports.LOOPBACK, port)
        assert ports.MIN_PORT <= port < ports.MAX_PORT
