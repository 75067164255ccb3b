"""Settings: every mistake at once, with its path and remedy."""

import json
import pathlib

import pytest

from streamthread.cli import main
from streamthread.settings import check_settings
from streamthread.settings import load_settings

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"

GOOD = {
    "daemon_id": "entry-1",
    "hall": "plateau",
    "platform": {"kind": "memory"},
    "peers": {"key": "k"},
}


class TestCheckSettings:
    def test_good_settings_have_no_mistakes(self) -> None:
        assert check_settings(GOOD) == []

    def test_all_mistakes_are_told_at_once(self) -> None:
        bad = {
            "hall": 7,
            "platform": {"kind": "http", "timeout_ms": 500},
            "peers": {"key": "k"},
            "colour": "red",
        }
        errors = check_settings(bad)
        assert {error.location for error in errors} == {
            "$.daemon_id",
            "$.hall",
            "$.platform.timeout_ms",
            "$.colour",
        }

    def test_wrong_unit_is_pointed_at_the_right_key(self) -> None:
        bad = GOOD | {"platform": {"kind": "memory", "timeout_ms": 500}}
        (error,) = check_settings(bad)
        assert "timeout_s" in error.remedy

    def test_number_in_a_string_is_refused(self) -> None:
        (error,) = check_settings(GOOD | {"linger_s": "2"})
        assert error.location == "$.linger_s"

    def test_configuration_inside_is_checked_too(self) -> None:
        bad = GOOD | {
            "configuration": {
                "pool": {"a": {"selector": "= x", "min_available": 1}},
                "service": {"b": {"pool": "a", "deadline": 3}},
            }
        }
        locations = {error.location for error in check_settings(bad)}
        assert locations == {"$.pool.a.selector", "$.service.b.deadline"}

    def test_service_without_its_pool_is_refused(self) -> None:
        bad = GOOD | {"configuration": {"service": {"b": {"pool": "a"}}}}
        (error,) = check_settings(bad)
        assert error.location == "$.service.b.pool"

    @pytest.mark.parametrize(
        "name", ["quickstart.json", "teranga.json", "fraser-delta.json"]
    )
    def test_examples_are_good(self, name: str) -> None:
        assert load_settings(EXAMPLES / name).daemon_id == "entry-1"


class TestSettingsCheckVerb:
    def test_prints_each_mistake_with_path_and_remedy(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "bad.json"
        path.write_text(json.dumps(GOOD | {"hall": 7, "colour": 1, "linger_s": "2"}))
        status = main(["settings", "check", str(path)])
        lines = capsys.readouterr().err.splitlines()
        assert status == 2
        assert len(lines) == 3
        for place in ("$.hall", "$.colour", "$.linger_s"):
            assert any(place in line and ";" in line for line in lines)

    def test_broken_json_names_its_line(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "broken.json"
        path.write_text('{"hall": \n oops}')
        assert main(["settings", "check", str(path)]) == 2
        assert f"{path}:2:2" in capsys.readouterr().err
