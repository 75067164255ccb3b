"""The pages: links lead somewhere, figures are those that were measured."""

import pathlib
import re
import subprocess
import sys

import pytest
from tools.capacity_page import PAGE
from tools.capacity_page import render
from tools.guard_list import Guard
from tools.guard_list import GUARDS
from tools.references import PAGES as REFERENCES

ROOT = pathlib.Path(__file__).parents[1]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class TestLinks:
    @pytest.mark.parametrize(
        "page", PAGES, ids=lambda page: str(page.relative_to(ROOT))
    )
    def test_lead_to_files(self, page: pathlib.Path) -> None:
        targets = LINK.findall(page.read_text())
        missing = [name for name in targets if not (page.parent / name).exists()]
        assert missing == []

    def test_every_page_can_be_reached_from_the_index(self) -> None:
        index = ROOT / "docs" / "index.md"
        linked = {
            (index.parent / name).resolve() for name in LINK.findall(index.read_text())
        }
        pages = {page for page in PAGES if page.parent != ROOT and page != index}
        pages.discard(ROOT / "docs" / "capacity.template.md")
        assert pages - linked == set()


class TestCapacityPage:
    def test_holds_the_measured_figures(self) -> None:
        assert PAGE.read_text() == render()


class TestReferences:
    @pytest.mark.parametrize("name", sorted(REFERENCES))
    def test_are_current(self, name: str) -> None:
        """Run ``python -m tools.references`` after a change of the classes."""
        assert (ROOT / "docs" / name).read_text() == REFERENCES[name]()


class TestExamples:
    def test_embedding_runs(self) -> None:
        done = subprocess.run(
            [sys.executable, str(ROOT / "examples" / "embed_leases.py")],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        assert "late write of the first: conflicted" in done.stdout


class TestGuards:
    @pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
    def test_stand_in_the_code_once(self, guard: Guard) -> None:
        text = (ROOT / "src" / "streamthread" / guard.file).read_text()
        assert text.count(guard.present) == 1
        assert not guard.also[0] or text.count(guard.also[0]) == 1

    @pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
    def test_name_tests_that_exist(self, guard: Guard) -> None:
        for test in guard.tests:
            path, _, name = test.partition("::")
            assert name in (ROOT / path).read_text()


class TestPromises:
    def test_name_every_guard(self) -> None:
        page = (ROOT / "docs" / "promises.md").read_text()
        missing = [guard.name for guard in GUARDS if f"`{guard.name}`" not in page]
        assert missing == []
