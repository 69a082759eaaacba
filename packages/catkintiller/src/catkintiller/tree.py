"""Answers questions about the effective settings.

:class:`SettingsTree` resolves inheritance once for each path and caches the result,
since a node reads these settings several times for every call.
"""

from typing import NamedTuple

from . import data, options, paths

DEFAULT_SOURCE = "default"


class Explanation(NamedTuple):
    """Where an effective value comes from and what it shadows."""

    name: str
    text: str
    path: str
    commit_id: str
    shadows: tuple[tuple[str, str], ...]


class KindSettings(NamedTuple):
    """Effective settings of one kind of request, in the declared units."""

    service: str
    kind: str
    priority: int
    repeatable: bool
    deadline: int
    retries: int
    retry_ratio: float
    max_body: int
    key_retention: int
    shedding: str


class EndpointSettings(NamedTuple):
    """Effective settings of one endpoint, in the declared units."""

    slots: int
    concurrency: str
    queue_time: int
    slow_start: int
    favour: str
    shedding: str


class PlaceSettings(NamedTuple):
    """Effective settings of one availability zone, in the declared units."""

    spill: float
    ejected_share: float


class SettingsTree:
    """Effective settings at one offset; never changes after it is made."""

    def __init__(self, state: data.SettingsState) -> None:
        self._state = state
        self._kinds: dict[tuple[str, str], KindSettings] = {}
        self._endpoints: dict[tuple[str, str], EndpointSettings] = {}
        self._places: dict[tuple[str, str], PlaceSettings] = {}
        self._matches = _collect_matches(state.values)

    @property
    def state(self) -> data.SettingsState:
        """The folded settings that this tree reads."""
        return self._state

    @property
    def services(self) -> list[str]:
        """Names of the services that the tree has settings for."""
        names = {p.split("/")[1] for p in self._state.values if p[:8] == "service/"}
        return sorted(names)

    def get(self, path: str, name: str) -> int | float | bool | str:
        """Gets the typed effective value of a setting at a path."""
        setting = options.SETTINGS[name]
        found = options.parse_value(setting, self.explain(path, name).text)
        if isinstance(found, options.ValueRejected):
            return options.parse_value(setting, setting.default)
        return found

    def explain(self, path: str, name: str) -> Explanation:
        """Explains where the effective value of a setting comes from."""
        found = []
        for ancestor in paths.iter_lineage(path):
            value = self._state.values.get(ancestor, {}).get(name)
            if value:
                found.append((ancestor, value))
        default = options.SETTINGS[name].default
        if not found:
            return Explanation(name, default, DEFAULT_SOURCE, "", ())
        shadows = [(ancestor, value.text) for ancestor, value in found[1:]]
        shadows.append((DEFAULT_SOURCE, default))
        path, value = found[0]
        return Explanation(name, value.text, path, value.commit_id, tuple(shadows))

    def find_kind(self, service: str, method: str, path: str) -> str:
        """Finds the kind of a request, ``""`` if none matches.

        The longest matching path prefix wins.
        """
        for prefix, kind in self._matches.get((service, method), ()):
            if path.startswith(prefix):
                return kind
        return ""

    def get_kind(self, service: str, kind: str) -> KindSettings:
        """Gets the effective settings of a kind of request."""
        found = self._kinds.get((service, kind))
        if found is None:
            path = paths.get_kind_path(service, kind)
            own = paths.get_service_path(service)
            found = KindSettings(
                service,
                kind,
                options.PRIORITIES.index(self.get(path, "priority")),
                self.get(path, "repeatable"),
                self.get(path, "deadline"),
                self.get(path, "retries"),
                self.get(own, "retry_ratio"),
                self.get(path, "max_body"),
                self.get(own, "key_retention"),
                self.get(own, "shedding"),
            )
            self._kinds[service, kind] = found
        return found

    def get_endpoint(self, service: str, endpoint: str) -> EndpointSettings:
        """Gets the effective settings of an endpoint."""
        found = self._endpoints.get((service, endpoint))
        if found is None:
            path = paths.get_endpoint_path(service, endpoint)
            own = paths.get_service_path(service)
            found = EndpointSettings(
                self.get(path, "slots"),
                self.get(path, "concurrency"),
                self.get(path, "queue_time"),
                self.get(path, "slow_start"),
                self.get(own, "favour"),
                self.get(own, "shedding"),
            )
            self._endpoints[service, endpoint] = found
        return found

    def get_place(self, region: str, zone: str) -> PlaceSettings:
        """Gets the effective settings of an availability zone."""
        found = self._places.get((region, zone))
        if found is None:
            path = paths.get_place_path(region, zone)
            found = PlaceSettings(
                self.get(path, "spill"), self.get(path, "ejected_share")
            )
            self._places[region, zone] = found
        return found


def _collect_matches(
    values: dict[str, dict[str, data.Value]],
) -> dict[tuple[str, str], list[tuple[str, str]]]:
    matches: dict[tuple[str, str], list[tuple[str, str]]] = {}
    for path in paths.iter_kinds(values):
        settings = values[path]
        if "match" not in settings:
            continue
        _, service, _, kind = path.split("/")
        method, _, prefix = settings["match"].text.partition(" ")
        matches.setdefault((service, method), []).append((prefix, kind))
    for found in matches.values():
        found.sort(key=lambda item: -len(item[0]))
    return matches
