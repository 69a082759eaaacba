"""Loads the description of a deployment: zones, services, kinds and load."""

from typing import NamedTuple

from catkintiller import errors, ini, tree

from . import endpoint, load


class ServiceSpec(NamedTuple):
    """A service of the deployment.

    :param endpoints: number of endpoints.
    :param slots: requests that each endpoint executes at once.
    """

    name: str
    endpoints: int
    slots: int


class KindSpec(NamedTuple):
    """One kind of request: how endpoints execute it and how clients send it.

    :param rate: root requests per second, 0 for a kind that only endpoints send.
    :param key: idempotency key: ``none``, ``plain`` if the client generates it, or
        ``ticket`` if a node issues it.
    """

    service: str
    kind: str
    plan: endpoint.KindPlan
    rate: float
    key: str


class DeploymentSpec(NamedTuple):
    """Description of one deployment."""

    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    kinds: tuple[KindSpec, ...]


def load_spec(file: str) -> DeploymentSpec:
    """Loads the description of a deployment from an INI file.

    :raises errors.SettingsInvalid: if the file is not well formed.
    """
    with open(file, encoding="utf-8") as stream:
        entries, problems = ini.parse_ini(stream.read(), file)
    if problems:
        raise errors.SettingsInvalid(problems)
    sections: dict[str, dict[str, str]] = {}
    for entry in entries:
        sections.setdefault(entry.path, {})[entry.name] = entry.value
    deployment = sections.pop("deployment")
    services = []
    kinds = []
    for section, values in sections.items():
        level, _, name = section.partition(" ")
        if level == "service":
            slots = int(values["slots"])
            services.append(ServiceSpec(name, int(values["endpoints"]), slots))
        else:
            kinds.append(_parse_kind(name, values))
    return DeploymentSpec(
        deployment["region"],
        tuple(deployment["zones"].split()),
        tuple(services),
        tuple(kinds),
    )


def _parse_kind(name: str, values: dict[str, str]) -> KindSpec:
    service, _, kind = name.partition("/")
    method, path = values["request"].split()
    calls = values.get("calls", "").split()
    pairs = zip(calls[::2], calls[1::2], strict=True)
    plan = endpoint.KindPlan(
        method,
        path,
        float(values["time_ms"]),
        int(values["answer_bytes"]),
        tuple(endpoint.NestedCall(*pair) for pair in pairs),
    )
    rate = float(values.get("rate", "0"))
    return KindSpec(service, kind, plan, rate, values.get("key", "none"))


def build_load_plan(
    spec: DeploymentSpec,
    nodes: list[str],
    stages: tuple[load.Stage, ...],
    seed: int,
    client_retries: int,
    deadline_ms: int = 1500,
) -> load.LoadPlan:
    """Builds the load plan of a deployment.

    :param nodes: HTTP addresses of the nodes to which clients send.
    """
    kinds = tuple(
        load.LoadKind(
            kind.service,
            kind.kind,
            kind.plan.method,
            kind.plan.path,
            kind.rate,
            deadline_ms,
            kind.plan.answer_bytes,
            kind.key,
        )
        for kind in spec.kinds
        if kind.rate
    )
    return load.LoadPlan(seed, tuple(nodes), stages, kinds, client_retries)


def find_unrepeatable_kinds(
    spec: DeploymentSpec, settings: tree.SettingsTree
) -> set[tuple[str, str]]:
    """Returns the service and path of the kinds that may be executed at most once."""
    return {
        (kind.service, kind.plan.path)
        for kind in spec.kinds
        if not settings.get_kind(kind.service, kind.kind).repeatable
    }
