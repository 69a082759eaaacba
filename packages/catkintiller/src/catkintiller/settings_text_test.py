"""Tests of parsing, validating and explaining settings."""

import pytest

from . import data, errors, fold, ini, loader, options, reference, tree, validation

TEXT = """\
[root]
slots = 10
[service/shop]
slots = 20
[service/shop/endpoint/shop-1]
slots = 30
[service/shop/kind/look]
match = GET /look
deadline = 1.5 s
"""


def build_tree(text: str) -> tree.SettingsTree:
    """Builds a tree from a text in INI format."""
    return loader.build_tree(loader.parse_entries(text, "text"))


class TestValidation:
    """All problems are reported together, each with its line."""

    def test_all_problems_are_reported(self) -> None:
        text = "slots = 1\n[root]\nslots\nslots = 0\nslots = 2\nslots = 2\nx = 1\n"
        entries, problems = ini.parse_ini(text, "f.ini")
        problems += validation.validate_entries(entries)
        found = {(p.source.line, p.kind) for p in problems}
        kind = data.ProblemKind
        assert found == {
            (1, kind.SYNTAX),
            (3, kind.SYNTAX),
            (4, kind.OUT_OF_RANGE),
            (5, kind.DUPLICATE),
            (6, kind.DUPLICATE),
            (7, kind.UNKNOWN_SETTING),
        }
        assert all("allowed" in validation.format_problem(p) for p in problems)

    def test_wrong_level_and_unknown_path_are_reported(self) -> None:
        text = "[place/r]\nslots = 1\n[nowhere]\nslots = 1\n"
        problems = validation.validate_entries(ini.parse_ini(text, "f")[0])
        kinds = [p.kind for p in problems]
        assert kinds == [data.ProblemKind.WRONG_LEVEL, data.ProblemKind.UNKNOWN_PATH]

    def test_kind_without_match_is_reported(self) -> None:
        with pytest.raises(errors.SettingsInvalid) as caught:
            build_tree("[service/s/kind/k]\ndeadline = 1 s\n")
        kinds = [problem.kind for problem in caught.value.problems]
        assert kinds == [data.ProblemKind.MISSING]

    def test_every_declared_text_parses(self) -> None:
        for setting in options.SETTINGS.values():
            for text in filter(None, (setting.default, setting.example)):
                found = options.parse_value(setting, text)
                assert not isinstance(found, options.InvalidValue), setting.name

    def test_formatted_text_parses_to_the_same_values(self) -> None:
        values = {"root": {"slots": "3"}, "service/a": {"deadline": "2 s"}}
        entries, problems = ini.parse_ini(ini.format_ini(values), "f")
        assert not problems
        assert {(e.path, e.name, e.value) for e in entries} == {
            ("root", "slots", "3"),
            ("service/a", "deadline", "2 s"),
        }


class TestTree:
    """Inheritance of values and explanations of their origin."""

    def test_value_of_the_nearest_ancestor_applies(self) -> None:
        found = build_tree(TEXT)
        assert found.get_endpoint("shop", "shop-1").slots == 30
        assert found.get_endpoint("shop", "shop-2").slots == 20
        assert found.get_endpoint("other", "o-1").slots == 10
        assert found.get_kind("shop", "look").deadline == 1500

    def test_explain_returns_source_and_shadowed_values(self) -> None:
        explained = build_tree(TEXT).explain("service/shop/endpoint/shop-1", "slots")
        assert explained.path == "service/shop/endpoint/shop-1"
        assert explained.shadows[:2] == (("service/shop", "20"), ("root", "10"))

    def test_clearing_inherits_again(self) -> None:
        state = build_tree(TEXT).state
        change = data.Change("service/shop", "slots", None)
        commit = data.Commit("c2", "", "", {}, (change,))
        values = fold.apply_changes(state.values, commit)
        cleared = tree.SettingsTree(state._replace(values=values))
        assert cleared.get_endpoint("shop", "shop-2").slots == 10

    def test_longest_match_wins(self) -> None:
        text = TEXT + "[service/shop/kind/near]\nmatch = GET /look/near\n"
        found = build_tree(text)
        assert found.find_kind("shop", "GET", "/look/near?x=1") == "near"
        assert found.find_kind("shop", "GET", "/look?x=1") == "look"
        assert found.find_kind("shop", "POST", "/look") == ""


class TestReference:
    """The generated page contains all settings."""

    def test_every_setting_is_on_the_page(self) -> None:
        page = reference.format_reference()
        assert all(f"## `{name}`" in page for name in options.SETTINGS)
