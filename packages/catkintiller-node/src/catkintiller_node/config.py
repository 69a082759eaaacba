"""Local settings of one node: its addresses, its location, and its initial peers.

They are read from the section ``[node]`` of an INI file. Each one is declared in
:data:`LOCAL_SETTINGS`; parsing, validation and error messages derive from that.
"""

import re
from typing import NamedTuple

from catkintiller import data, errors, ini

SECTION = "node"

_ADDRESS_PATTERN = r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"
_NAME_PATTERN = r"[a-z0-9][a-z0-9.-]*"


class LocalSetting(NamedTuple):
    """Declaration of one local setting; ``pattern`` must match its whole value.

    ``default`` is ``None`` if the setting is required.
    """

    name: str
    pattern: str
    allowed: str
    default: str | None
    doc: str


LOCAL_SETTINGS = (
    LocalSetting(
        "http", _ADDRESS_PATTERN, "IP:PORT", None, "Address that accepts HTTP requests."
    ),
    LocalSetting(
        "mesh",
        _ADDRESS_PATTERN,
        "IP:PORT",
        None,
        "Address that accepts messages of other nodes.",
    ),
    LocalSetting(
        "advertised_mesh",
        _ADDRESS_PATTERN,
        "IP:PORT",
        "",
        "Mesh address announced to other nodes, if it differs from mesh.",
    ),
    LocalSetting("region", _NAME_PATTERN, "a name", None, "Region of the VM."),
    LocalSetting("zone", _NAME_PATTERN, "a name", None, "Availability zone of the VM."),
    LocalSetting(
        "peers",
        rf"{_ADDRESS_PATTERN}(?:\s+{_ADDRESS_PATTERN})*",
        "IP:PORT IP:PORT ...",
        "",
        "Mesh addresses of a few nodes to join through.",
    ),
    LocalSetting("log", r"https?://\S+", "a URL", None, "URL of the log service."),
    LocalSetting(
        "mesh_key",
        r"[0-9a-f]{32,128}",
        "32 to 128 hexadecimal digits",
        None,
        "Secret key shared by all nodes of the deployment.",
    ),
    LocalSetting(
        "decision_lines",
        r"\d{1,6}",
        "0 to 999999 lines a second",
        "50",
        "Decisions logged a second for each part; further ones are only counted.",
    ),
    LocalSetting(
        "snapshot_s",
        r"[1-9]\d{0,5}",
        "1 to 999999 s",
        "600",
        "Longest time between two snapshots of the settings on the log. It "
        "must be well below the retention of the log service.",
    ),
    LocalSetting(
        "settle_ms",
        r"\d{1,5}",
        "0 to 99999 ms",
        "1500",
        "How long a stopping node still forwards calls, so that callers and "
        "other nodes can be notified of the stop.",
    ),
)


class NodeConfig(NamedTuple):
    """Validated local settings of a node."""

    http: str
    mesh: str
    advertised_mesh: str
    region: str
    zone: str
    peers: tuple[str, ...]
    log: str
    mesh_key: bytes
    decision_lines: int
    snapshot_s: int
    settle_s: float


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_config(file: str) -> NodeConfig:
    """Loads and validates a file of local settings.

    :raises errors.SettingsInvalid: with all problems of the file.
    :raises OSError: if the file cannot be read.
    """
    with open(file, encoding="utf-8") as stream:
        entries, problems = ini.parse_ini(stream.read(), file)
    declared = {setting.name: setting for setting in LOCAL_SETTINGS}
    values: dict[str, str] = {}
    for entry in entries:
        problem = _find_problem(entry, declared.get(entry.name))
        if problem:
            problems.append(problem)
        else:
            values[entry.name] = entry.value
    for setting in LOCAL_SETTINGS:
        if setting.name not in {entry.name for entry in entries}:
            if setting.default is None:
                problems.append(_build_missing_problem(file, setting))
            else:
                values[setting.name] = setting.default
    if problems:
        raise errors.SettingsInvalid(problems)
    return NodeConfig(
        values["http"],
        values["mesh"],
        values["advertised_mesh"] or values["mesh"],
        values["region"],
        values["zone"],
        tuple(values["peers"].split()),
        values["log"],
        bytes.fromhex(values["mesh_key"]),
        int(values["decision_lines"]),
        int(values["snapshot_s"]),
        int(values["settle_ms"]) / 1000,
    )


def _find_problem(
    entry: data.Entry, setting: LocalSetting | None
) -> data.Problem | None:
    if entry.path != SECTION:
        return data.Problem(
            data.ProblemKind.UNKNOWN_PATH,
            entry.source,
            f"unknown section [{entry.path}]",
            f"[{SECTION}]",
        )
    if setting is None:
        return data.Problem(
            data.ProblemKind.UNKNOWN_SETTING,
            entry.source,
            f"unknown local setting {entry.name!r}",
            ", ".join(setting.name for setting in LOCAL_SETTINGS),
        )
    if entry.value is None or not re.fullmatch(setting.pattern, entry.value):
        return data.Problem(
            data.ProblemKind.BAD_VALUE,
            entry.source,
            f"invalid value {entry.value!r} of {entry.name}",
            setting.allowed,
        )
    return None


def _build_missing_problem(file: str, setting: LocalSetting) -> data.Problem:
    return data.Problem(
        data.ProblemKind.MISSING,
        data.Source(file, SECTION, 0),
        f"{setting.name} is missing: {setting.doc}",
        setting.allowed,
    )
