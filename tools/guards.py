"""Shows that each proof fails without its guard.

A guard is a few lines of the product. This program copies the tree, takes one
guard away, runs the test that proves it and expects it to fail; the same test
passes with the guard in ``make test``. Run all, or name some::

    python -m tools.guards
    python -m tools.guards epoch-fence
"""

import argparse
import concurrent.futures as futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

from tools.guard_list import Guard
from tools.guard_list import GUARDS

ROOT = pathlib.Path(__file__).parents[1]
COPIED = ("src", "tests", "tools", "examples", "conftest.py", "pyproject.toml")
LIMIT_S = 240
AT_ONCE = 4


@attrs.frozen
class Result:
    """Whether the proof failed without its guard, and pytest's last line."""

    failed: bool
    last_line: str


def _copy_tree(target: pathlib.Path) -> None:
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, target / name, ignore=ignored)
        else:
            shutil.copy(source, target / name)


def _remove(guard: Guard, tree: pathlib.Path) -> None:
    path = tree / "src" / "streamthread" / guard.file
    text = path.read_text()
    for present, without in ((guard.present, guard.without), guard.also):
        if present and text.count(present) != 1:
            raise SystemExit(f"{guard.name}: its text is not once in {guard.file}")
        text = text.replace(present, without) if present else text
    path.write_text(text)


def _run(guard: Guard) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder)
        _copy_tree(tree)
        _remove(guard, tree)
        environment = {
            **os.environ,
            "PYTHONPATH": str(tree / "src"),
            "HYPOTHESIS_PROFILE": "unshrunk",
        }
        command = [sys.executable, "-m", "pytest", "-x", *guard.tests]
        done = subprocess.run(
            command,
            cwd=tree,
            env=environment,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
    lines = done.stdout.strip().splitlines() or [done.stderr[-200:]]
    return Result(done.returncode == 1, lines[-1])


def main() -> int:
    """Run the named guards, or all; return 1 if a proof did not fail."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="*")
    names = parser.parse_args().name
    chosen = [guard for guard in GUARDS if not names or guard.name in names]
    status = 0
    with futures.ThreadPoolExecutor(AT_ONCE) as executor:
        results = list(executor.map(_run, chosen))
    for guard, result in zip(chosen, results, strict=True):
        verdict = "fails without it" if result.failed else "DOES NOT FAIL"
        status |= not result.failed
        print(f"{guard.name:<24} {verdict}: {result.last_line}", flush=True)
    return status


if __name__ == "__main__":
    raise SystemExit(main())
