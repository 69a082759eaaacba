"""Effective settings: resolves inheritance in the settings tree.

:class:`SettingsTree` resolves inheritance once for each path and caches the result,
since a node reads these settings several times for every call.
"""

from typing import NamedTuple

from . import data, options, paths

DEFAULT_SOURCE = "default"


class Explanation(NamedTuple):
    """Origin of an effective value, and the values of ancestors that it overrides."""

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
    """Effective settings at one offset of the settings stream. Immutable."""

    def __init__(self, state: data.SettingsState) -> None:
        self._state = state
        self._kinds: dict[tuple[str, str], KindSettings] = {}
        self._endpoints: dict[tuple[str, str], EndpointSettings] = {}
        self._places: dict[tuple[str, str], PlaceSettings] = {}
        self._kinds_by_prefix = _collect_kinds_by_prefix(state.values)

    @property
    def state(self) -> data.SettingsState:
        """Settings state that this tree resolves."""
        return self._state

    @property
    def services(self) -> list[str]:
        """Sorted names of the services that have settings of their own."""
        names = {p.split("/")[1] for p in self._state.values if p[:8] == "service/"}
        return sorted(names)

    def get(self, path: str, name: str) -> int | float | bool | str:
        """Returns the typed effective value of a setting at a path.

        If the text of the value is invalid, the default applies.
        """
        setting = options.SETTINGS[name]
        value = options.parse_value(setting, self.explain(path, name).text)
        if isinstance(value, options.InvalidValue):
            return options.parse_value(setting, setting.default)
        return value

    def explain(self, path: str, name: str) -> Explanation:
        """Explains where the effective value of a setting comes from."""
        candidates = []
        for ancestor in paths.get_lineage(path):
            value = self._state.values.get(ancestor, {}).get(name)
            if value:
                candidates.append((ancestor, value))
        default = options.SETTINGS[name].default
        if not candidates:
            return Explanation(name, default, DEFAULT_SOURCE, "", ())
        shadows = [(ancestor, value.text) for ancestor, value in candidates[1:]]
        shadows.append((DEFAULT_SOURCE, default))
        path, value = candidates[0]
        return Explanation(name, value.text, path, value.commit_id, tuple(shadows))

    def find_kind(self, service: str, method: str, path: str) -> str:
        """Returns the kind of a request, or ``""`` if none matches.

        The longest matching path prefix is decisive.
        """
        for prefix, kind in self._kinds_by_prefix.get((service, method), ()):
            if path.startswith(prefix):
                return kind
        return ""

    def get_kind(self, service: str, kind: str) -> KindSettings:
        """Returns the effective settings of a kind of request."""
        resolved = self._kinds.get((service, kind))
        if resolved is None:
            path = paths.get_kind_path(service, kind)
            service_path = paths.get_service_path(service)
            resolved = KindSettings(
                service,
                kind,
                options.PRIORITIES.index(self.get(path, "priority")),
                self.get(path, "repeatable"),
                self.get(path, "deadline"),
                self.get(path, "retries"),
                self.get(service_path, "retry_ratio"),
                self.get(path, "max_body"),
                self.get(service_path, "key_retention"),
                self.get(service_path, "shedding"),
            )
            self._kinds[service, kind] = resolved
        return resolved

    def get_endpoint(self, service: str, endpoint: str) -> EndpointSettings:
        """Returns the effective settings of an endpoint."""
        resolved = self._endpoints.get((service, endpoint))
        if resolved is None:
            path = paths.get_endpoint_path(service, endpoint)
            service_path = paths.get_service_path(service)
            resolved = EndpointSettings(
                self.get(path, "slots"),
                self.get(path, "concurrency"),
                self.get(path, "queue_time"),
                self.get(path, "slow_start"),
                self.get(service_path, "favour"),
                self.get(service_path, "shedding"),
            )
            self._endpoints[service, endpoint] = resolved
        return resolved

    def get_place(self, region: str, zone: str) -> PlaceSettings:
        """Returns the effective settings of an availability zone."""
        resolved = self._places.get((region, zone))
        if resolved is None:
            path = paths.get_place_path(region, zone)
            resolved = PlaceSettings(
                self.get(path, "spill"), self.get(path, "ejected_share")
            )
            self._places[region, zone] = resolved
        return resolved


def _collect_kinds_by_prefix(
    values: dict[str, dict[str, data.Value]],
) -> dict[tuple[str, str], list[tuple[str, str]]]:
    kinds_by_prefix: dict[tuple[str, str], list[tuple[str, str]]] = {}
    for path in paths.iter_kind_paths(values):
        settings = values[path]
        if "match" not in settings:
            continue
        _, service, _, kind = path.split("/")
        method, _, prefix = settings["match"].text.partition(" ")
        kinds_by_prefix.setdefault((service, method), []).append((prefix, kind))
    for prefixes in kinds_by_prefix.values():
        prefixes.sort(key=lambda item: -len(item[0]))
    return kinds_by_prefix
