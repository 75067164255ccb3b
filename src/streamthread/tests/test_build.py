"""What is shown of the code that runs."""

import pathlib
import platform
import shutil

import pytest

import streamthread
from streamthread.cli import main as command_line
from streamthread.gateway.main import main as daemon
from streamthread.sources import digest_sources

PACKAGE = pathlib.Path(streamthread.__file__).parent


class TestDigest:
    def test_is_the_same_where_the_package_is_installed(
        self, tmp_path: pathlib.Path
    ) -> None:
        without = shutil.ignore_patterns("tests", "__pycache__")
        installed = shutil.copytree(PACKAGE, tmp_path / "package", ignore=without)
        assert digest_sources(installed) == digest_sources(PACKAGE)

    def test_changes_with_each_name_and_content(self, tmp_path: pathlib.Path) -> None:
        digests = set()
        for files in ({"a": "xy", "b": ""}, {"a": "x", "b": "y"}, {"a": "", "c": "xy"}):
            package = tmp_path / str(len(digests))
            package.mkdir()
            for name, content in files.items():
                (package / f"{name}.py").write_text(content)
            digests.add(digest_sources(package))
        assert len(digests) == 3


class TestVersion:
    # Guards against logs and reports that can't tell which code a daemon ran.
    @pytest.mark.parametrize("main", [command_line, daemon])
    def test_names_the_sources_and_the_python(
        self, main: object, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with pytest.raises(SystemExit) as ended:
            main(["--version"])  # type: ignore[operator]
        assert ended.value.code == 0
        shown = capsys.readouterr().out
        assert digest_sources(PACKAGE) in shown
        assert platform.python_version() in shown
        assert streamthread.__version__ in shown
