"""Local settings of one node: its addresses, its place, and whom it knows.

They are read from the section ``[node]`` of an INI file. Each is declared once in
:data:`LOCAL_SETTINGS`; reading, checking and help derive from that.
"""

import re
from typing import NamedTuple

from catkintiller import data, errors, ini

SECTION = "node"

_ADDRESS = r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"
_NAME = r"[a-z0-9][a-z0-9.-]*"


class LocalSetting(NamedTuple):
    """Declaration of one local setting; ``pattern`` matches its whole value."""

    name: str
    pattern: str
    allowed: str
    default: str | None
    doc: str


LOCAL_SETTINGS = (
    LocalSetting("http", _ADDRESS, "IP:PORT", None, "Where callers reach the node."),
    LocalSetting("mesh", _ADDRESS, "IP:PORT", None, "Where other nodes reach it."),
    LocalSetting(
        "advertised_mesh",
        _ADDRESS,
        "IP:PORT",
        "",
        "The mesh address told to other nodes, if it is not the bound one.",
    ),
    LocalSetting("region", _NAME, "a name", None, "Region of the VM."),
    LocalSetting("zone", _NAME, "a name", None, "Availability zone of the VM."),
    LocalSetting(
        "peers",
        rf"{_ADDRESS}(?:\s+{_ADDRESS})*",
        "IP:PORT IP:PORT ...",
        "",
        "Mesh addresses of a few other nodes to start from.",
    ),
    LocalSetting("log", r"https?://\S+", "a URL", None, "The log service."),
    LocalSetting(
        "mesh_key",
        r"[0-9a-f]{32,128}",
        "32 to 128 hexadecimal digits",
        None,
        "The key that all nodes of the deployment share.",
    ),
    LocalSetting(
        "decision_lines",
        r"\d{1,6}",
        "0 to 999999 lines a second",
        "50",
        "Decisions logged in a second for each part; the rest is counted.",
    ),
    LocalSetting(
        "snapshot_s",
        r"[1-9]\d{0,5}",
        "1 to 999999 s",
        "600",
        "The longest time between two snapshots of the settings on the log. It "
        "must be well below the retention of the log service.",
    ),
    LocalSetting(
        "settle_ms",
        r"\d{1,5}",
        "0 to 99999 ms",
        "1500",
        "How long a stopping node still forwards calls, so that callers and "
        "other nodes hear of the stop.",
    ),
)


class NodeConfig(NamedTuple):
    """Checked local settings of a node."""

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
    """Splits ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_config(file: str) -> NodeConfig:
    """Loads and checks a file of local settings.

    :raises errors.SettingsInvalid: with all problems of the file.
    :raises OSError: if the file cannot be read.
    """
    with open(file, encoding="utf-8") as stream:
        entries, problems = ini.parse_ini(stream.read(), file)
    declared = {setting.name: setting for setting in LOCAL_SETTINGS}
    found: dict[str, str] = {}
    for entry in entries:
        problem = _find_problem(entry, declared.get(entry.name))
        if problem:
            problems.append(problem)
        else:
            found[entry.name] = entry.value
    for setting in LOCAL_SETTINGS:
        if setting.name not in {entry.name for entry in entries}:
            if setting.default is None:
                problems.append(_make_missing(file, setting))
            else:
                found[setting.name] = setting.default
    if problems:
        raise errors.SettingsInvalid(problems)
    return NodeConfig(
        found["http"],
        found["mesh"],
        found["advertised_mesh"] or found["mesh"],
        found["region"],
        found["zone"],
        tuple(found["peers"].split()),
        found["log"],
        bytes.fromhex(found["mesh_key"]),
        int(found["decision_lines"]),
        int(found["snapshot_s"]),
        int(found["settle_ms"]) / 1000,
    )


def _find_problem(
    entry: data.Entry, setting: LocalSetting | None
) -> data.Problem | None:
    if entry.path != SECTION:
        return data.Problem(
            data.ProblemKind.UNKNOWN_PATH,
            entry.source,
            f"[{entry.path}] is no section here",
            f"[{SECTION}]",
        )
    if setting is None:
        return data.Problem(
            data.ProblemKind.UNKNOWN_SETTING,
            entry.source,
            f"{entry.name!r} is no local setting",
            ", ".join(setting.name for setting in LOCAL_SETTINGS),
        )
    if entry.value is None or not re.fullmatch(setting.pattern, entry.value):
        return data.Problem(
            data.ProblemKind.BAD_VALUE,
            entry.source,
            f"{entry.value!r} is no value of {entry.name}",
            setting.allowed,
        )
    return None


def _make_missing(file: str, setting: LocalSetting) -> data.Problem:
    return data.Problem(
        data.ProblemKind.MISSING,
        data.Source(file, SECTION, 0),
        f"{setting.name} is missing: {setting.doc}",
        setting.allowed,
    )
