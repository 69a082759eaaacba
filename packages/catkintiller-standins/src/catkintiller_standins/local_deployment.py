"""Runs a deployment as real processes on loopback.

Only development tools start processes; the product never does.
"""

import asyncio
import os
import signal
import sys
from typing import NamedTuple

import aiohttp
import msgspec
from aiomisc.pytest import TCPProxy

from . import analysis, deployment_spec, endpoint, load, ports

MESH_KEY = "5f" * 32
_NODE_MODULE = "catkintiller_node.main"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


class Vm(NamedTuple):
    """A VM: one endpoint and the node beside it.

    :param name: name of the endpoint.
    :param slots: requests that the endpoint executes at once.
    """

    name: str
    service: str
    zone: str
    slots: int
    node_port: int
    mesh_port: int
    endpoint_port: int


class DeploymentFailed(Exception):
    """Raised when a deployment, or a tool run in it, fails or is not ready in time."""


class Deployment:
    """The processes of one deployment.

    :param spec: description of the deployment.
    :param settings: settings file that is committed at the start.
    :param folder: folder for plans, ledgers and logs.
    :param seed: random seed of the stand-ins.
    """

    def __init__(
        self,
        spec: deployment_spec.DeploymentSpec,
        settings: str,
        folder: str,
        seed: int,
    ) -> None:
        self._spec = spec
        self._settings = settings
        self._folder = folder
        self._seed = seed
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.vms: list[Vm] = []
        self.advertised_addresses: dict[str, str] = {}
        self.retries_per_call = 0
        self.proxies: dict[str, TCPProxy] = {}
        self._create_vms()

    @property
    def folder(self) -> str:
        """Folder of the plans, ledgers and logs."""
        return self._folder

    @property
    def log_url(self) -> str:
        """URL of the log service."""
        return f"http://127.0.0.1:{self._log_port}"

    @property
    def nodes(self) -> list[str]:
        """HTTP addresses of the nodes."""
        return [f"127.0.0.1:{vm.node_port}" for vm in self.vms]

    def get_vm(self, name: str) -> Vm:
        """Returns the VM of an endpoint, by the endpoint's name."""
        return next(vm for vm in self.vms if vm.name == name)

    def get_pid(self, process: str) -> int:
        """Returns the process ID of ``log``, ``node NAME`` or ``endpoint NAME``."""
        return self._processes[process].pid

    async def start(self, commit: bool = True) -> None:
        """Starts all processes, commits the settings and waits until all are ready.

        :param commit: commit the settings and wait; otherwise return at once.
        """
        await self.start_log()
        for vm in self.vms:
            await self.start_vm(vm)
        if commit:
            await self.wait_listening()
            await self.commit(self._settings)
            await self.wait_ready()

    async def start_log(self) -> None:
        """Starts the log service stand-in."""
        module = "catkintiller_standins.log_service"
        await self._spawn("log", ["-m", module, "--port", str(self._log_port)])

    async def start_vm(self, vm: Vm) -> None:
        """Starts the node and the endpoint of a VM."""
        await self.start_node(vm)
        await self.start_endpoint(vm)

    async def start_node(self, vm: Vm) -> None:
        """Starts the node of a VM."""
        file = os.path.join(self._folder, f"{vm.name}.ini")
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(self._format_node_config(vm))
        await self._spawn(f"node {vm.name}", ["-m", _NODE_MODULE, file])

    async def start_endpoint(self, vm: Vm) -> None:
        """Starts the endpoint of a VM."""
        plan = self._build_endpoint_plan(vm)
        file = os.path.join(self._folder, f"{vm.name}.json")
        with open(file, "wb") as stream:
            stream.write(msgspec.json.encode(plan))
        module = "catkintiller_standins.endpoint"
        await self._spawn(f"endpoint {vm.name}", ["-m", module, file])

    async def start_tool(self, module: str, *arguments: str) -> None:
        """Starts a module of this package; it runs until the deployment stops."""
        await self._spawn(module, ["-m", f"catkintiller_standins.{module}", *arguments])

    async def commit(self, file: str) -> None:
        """Commits a settings file with the operator's command line."""
        command = ["-m", "catkintiller_operator.main", "settings", "commit", file]
        options = ["--log", self.log_url, "--author", "standins"]
        process = await self._start_process([*command, *options, "--message", "set up"])
        if await process.wait():
            raise DeploymentFailed(f"settings commit of {file} failed")

    async def run_load(
        self, stages: tuple[load.Stage, ...], client_retries: int = 0, seed: int = 0
    ) -> list[load.RootResult]:
        """Runs the load generator in its own process and returns the results."""
        plan = deployment_spec.build_load_plan(
            self._spec, self.nodes, stages, seed or self._seed, client_retries
        )
        plan_file = os.path.join(self._folder, "load.json")
        results_file = os.path.join(self._folder, "results.jsonl")
        with open(plan_file, "wb") as stream:
            stream.write(msgspec.json.encode(plan))
        module = "catkintiller_standins.load"
        process = await self._start_process(["-m", module, plan_file, results_file])
        if await process.wait():
            raise DeploymentFailed("load generator failed")
        decoder = msgspec.json.Decoder(load.RootResult)
        with open(results_file, "rb") as stream:
            return [decoder.decode(line) for line in stream]

    async def post_json(self, url: str, **fields: object) -> None:
        """Posts the keyword arguments as a JSON document and checks the status."""
        async with aiohttp.ClientSession() as http:
            async with http.post(url, json=fields) as response:
                response.raise_for_status()

    async def set_log_faults(self, **faults: object) -> None:
        """Sets faults of the log service stand-in."""
        await self.post_json(f"{self.log_url}/control", **faults)

    async def set_endpoint_faults(self, name: str, **faults: object) -> None:
        """Sets faults of an endpoint."""
        port = self.get_vm(name).endpoint_port
        await self.post_json(f"http://127.0.0.1:{port}/-/control", **faults)

    async def get_status(self, vm: Vm) -> dict:
        """Returns the status document of a VM's node."""
        async with aiohttp.ClientSession() as http:
            url = f"http://127.0.0.1:{vm.node_port}/-/status"
            async with http.get(url) as response:
                return await response.json()

    async def get_members(self, vm: Vm) -> list[dict]:
        """Returns the members in the membership table of a VM's node."""
        async with aiohttp.ClientSession() as http:
            url = f"http://127.0.0.1:{vm.node_port}/-/members"
            async with http.get(url) as response:
                return (await response.json())["members"]

    async def wait_listening(self) -> None:
        """Waits until every node answers status requests."""

        async def is_listening() -> bool:
            for vm in self.vms:
                await self.get_status(vm)
            return True

        await wait_until(is_listening, "every node answers")

    async def wait_ready(self) -> None:
        """Waits until every node lists all members of the deployment as accepting."""

        async def is_ready() -> bool:
            for vm in self.vms:
                members = await self.get_members(vm)
                serving = [member for member in members if member["accepting"]]
                if len(serving) < len(self.vms):
                    return False
            return True

        await wait_until(is_ready, "every node lists all members as accepting")

    def signal(self, process: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this deployment started."""
        self._processes[process].send_signal(number)

    async def terminate(self, process: str) -> int:
        """Sends SIGTERM to a process and waits until it exits."""
        self.signal(process, signal.SIGTERM)
        return await self.wait(process)

    async def kill(self, process: str) -> None:
        """Sends SIGKILL to a process and waits until it exits."""
        self.signal(process, signal.SIGKILL)
        await self.wait(process)

    async def wait(self, process: str) -> int:
        """Waits until a process exits and returns its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            status = await self._processes[process].wait()
        del self._processes[process]
        return status

    async def stop(self) -> None:
        """Kills every process that still runs, paused ones included."""
        for name, process in list(self._processes.items()):
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                await self.kill(name)

    def read_ledger(self) -> list[dict]:
        """Reads the execution records of all endpoints."""
        records = []
        for vm in self.vms:
            file = self._get_ledger_file(vm)
            if os.path.exists(file):
                records.extend(analysis.read_ledger_file(file))
        return records

    def _create_vms(self) -> None:
        count = sum(service.endpoints for service in self._spec.services)
        free_ports = ports.claim_ports(3 * count + 1)
        self._log_port = free_ports.pop()
        zones = self._spec.zones
        for service in self._spec.services:
            for index in range(service.endpoints):
                self.vms.append(
                    Vm(
                        f"{service.name}-{index + 1}",
                        service.name,
                        zones[index % len(zones)],
                        service.slots,
                        free_ports.pop(),
                        free_ports.pop(),
                        free_ports.pop(),
                    )
                )

    def _get_ledger_file(self, vm: Vm) -> str:
        return os.path.join(self._folder, f"{vm.name}.ledger")

    def _format_node_config(self, vm: Vm) -> str:
        peers = [f"127.0.0.1:{other.mesh_port}" for other in self.vms[:3]]
        peers = [self.advertised_addresses.get(peer, peer) for peer in peers]
        mesh = f"127.0.0.1:{vm.mesh_port}"
        lines = [
            "[node]",
            f"http = 127.0.0.1:{vm.node_port}",
            f"mesh = {mesh}",
            f"advertised_mesh = {self.advertised_addresses.get(mesh, mesh)}",
            f"region = {self._spec.region}",
            f"zone = {vm.zone}",
            f"peers = {' '.join(peers)}",
            f"log = {self.log_url}",
            f"mesh_key = {MESH_KEY}",
        ]
        return "\n".join(lines) + "\n"

    def _build_endpoint_plan(self, vm: Vm) -> endpoint.EndpointPlan:
        return endpoint.EndpointPlan(
            vm.service,
            vm.name,
            vm.endpoint_port,
            f"127.0.0.1:{vm.node_port}",
            vm.slots,
            self._get_ledger_file(vm),
            self._seed + vm.endpoint_port,
            tuple(kind.plan for kind in self._spec.kinds if kind.service == vm.service),
            self.retries_per_call,
        )

    async def _spawn(self, name: str, arguments: list[str]) -> None:
        self._processes[name] = await self._start_process(arguments, name)

    async def _start_process(
        self, arguments: list[str], name: str = "tools"
    ) -> asyncio.subprocess.Process:
        file = os.path.join(self._folder, f"{name}.log")
        with open(file, "ab") as output:
            return await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=output, stderr=output
            )


async def wait_until(
    condition, description: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Polls an asynchronous condition until it is true.

    Connection errors count as false, since a process may be down or still starting.

    :param condition: coroutine function that returns whether the condition holds.
    :param description: condition, for the error.
    :param timeout_s: seconds after which waiting fails.

    :raises DeploymentFailed: if it does not become true in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    if await condition():
                        return
                except (aiohttp.ClientError, ConnectionError):
                    pass
                await asyncio.sleep(0.05)
    except TimeoutError as error:
        raise DeploymentFailed(f"condition not met in time: {description}") from error
