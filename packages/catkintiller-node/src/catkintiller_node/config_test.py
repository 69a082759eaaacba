"""Tests that local settings are validated before a node starts."""

import pytest
from catkintiller import data, errors

from . import config, main

GOOD = """\
[node]
http = 127.0.0.1:1
mesh = 127.0.0.1:2
region = r
zone = z
log = http://127.0.0.1:3
mesh_key = 0123456789abcdef0123456789abcdef
"""


class TestConfig:
    """All problems are reported together, and a node with a problem does not start."""

    def load(self, tmp_path, text: str) -> config.NodeConfig:
        file = tmp_path / "node.ini"
        file.write_text(text)
        return config.load_config(str(file))

    def test_valid_file(self, tmp_path) -> None:
        loaded = self.load(tmp_path, GOOD)
        assert loaded.advertised_mesh == "127.0.0.1:2"
        assert loaded.mesh_key == bytes.fromhex("0123456789abcdef" * 2)

    def test_every_problem_is_reported(self, tmp_path) -> None:
        text = GOOD.replace("zone = z\n", "zon = z\n").replace("127.0.0.1:1", "here")
        with pytest.raises(errors.SettingsInvalid) as caught:
            self.load(tmp_path, text)
        kinds = [problem.kind for problem in caught.value.problems]
        assert kinds == [
            data.ProblemKind.BAD_VALUE,
            data.ProblemKind.UNKNOWN_SETTING,
            data.ProblemKind.MISSING,
        ]

    def test_daemon_exits_on_an_invalid_file(self, tmp_path, capsys) -> None:
        file = tmp_path / "node.ini"
        file.write_text("[node]\n")
        with pytest.raises(SystemExit) as caught:
            main.serve(str(file))
        assert caught.value.code == main.EXIT_INVALID_SETTINGS
        assert "mesh_key is missing" in capsys.readouterr().err
