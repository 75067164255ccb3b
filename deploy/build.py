"""Builds target/deps: the pinned dependencies and the sources.

What is installed is judged by its content. It is replaced only by what is complete and
can be imported, so that a build that fails leaves the one before it as it was.
"""

import collections.abc as c
import compileall
import contextlib
import fcntl
import importlib.metadata
import os
import pathlib
import platform
import re
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
PACKAGE = "streamthread"
SOURCES = ROOT / "src" / PACKAGE
CONSTRAINTS = ROOT / "constraints.txt"

LOCK = TARGET / ".build-lock"
NEXT = TARGET / "next"
PREVIOUS = TARGET / "previous"

MINOR = sys.version_info.minor
"""The minor version of this Python 3."""

SHOWN_PROBLEMS = 5
"""How many problems an error lists."""

sys.dont_write_bytecode = True
sys.path.insert(0, str(SOURCES.parent))

from streamthread.sources import digest_sources  # noqa: E402
from streamthread.sources import NOT_INSTALLED  # noqa: E402


class BuildError(Exception):
    """The build failed; what was installed before is unchanged."""


def main() -> int:
    """Build, and return the exit status."""
    try:
        TARGET.mkdir(exist_ok=True)
        with _only_build():
            _build()
    except (BuildError, OSError) as error:
        print(f"build failed: {error}", file=sys.stderr)
        print(f"target/deps is as it was: {_describe_installed()}", file=sys.stderr)
        return 1
    return 0


@contextlib.contextmanager
def _only_build() -> c.Iterator[None]:
    """Wait until no other build of this checkout runs."""
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        _clear_up()
        try:
            yield
        finally:
            _clear_up()


def _clear_up() -> None:
    """Undo what a build left that ended halfway."""
    for installed in (DEPS, DEPS / PACKAGE):
        previous = PREVIOUS / installed.name
        if previous.exists() and not installed.exists():
            previous.rename(installed)
    for folder in (NEXT, PREVIOUS):
        if folder.exists():
            shutil.rmtree(folder)


def _build() -> None:
    requirements = _requirements()
    problems = dependency_problems(DEPS, requirements)
    if problems:
        _install_dependencies(requirements, problems)
        _add_sources()
        _check_import([NEXT])
        _replace(DEPS, NEXT)
    elif not _has_sources():
        _add_sources()
        _check_import([NEXT, DEPS])
        _replace(DEPS / PACKAGE, NEXT / PACKAGE)
    # A copy of the folder that lost its times would be compiled at each start.
    _compile(DEPS)


# Dependencies.


def _requirements() -> list[str]:
    """Return what the project declares for its run time."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return list(project["dependencies"])


def _name_of(requirement: str) -> str:
    """Return the normalized name at the start of a requirement."""
    found = re.match(r"[A-Za-z0-9._-]+", requirement)
    if found is None:
        raise BuildError(f"{requirement!r} is no requirement")
    return _normalized(found.group())


def _normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _pins() -> dict[str, str]:
    """Return the pinned versions by normalized name."""
    lines = CONSTRAINTS.read_text().splitlines()
    pins = [line.partition("==") for line in lines if "==" in line]
    return {_normalized(name): version.strip() for name, _, version in pins}


def dependency_problems(folder: pathlib.Path, requirements: list[str]) -> list[str]:
    """Return why a folder does not hold the dependencies; empty if it does.

    What is required has to be there, and everything that is there has to be whole, of
    the pinned version, and for this Python and kind of machine.
    """
    if not folder.is_dir():
        return [f"{folder.relative_to(ROOT)} is not there"]
    pins = _pins()
    problems: list[str] = []
    required = {_name_of(requirement) for requirement in requirements}
    found: set[str] = set()
    for installed in importlib.metadata.distributions(path=[str(folder)]):
        name = _normalized(installed.metadata["Name"] or "unnamed")
        if name == PACKAGE:
            continue
        found.add(name)
        required |= _unconditional(installed)
        problems += _distribution_problems(name, installed, pins.get(name))
    return problems + [f"{name} is missing" for name in sorted(required - found)]


def _unconditional(installed: importlib.metadata.Distribution) -> set[str]:
    """Return what a distribution requires on every platform and without extras."""
    return {_name_of(line) for line in installed.requires or () if ";" not in line}


def _distribution_problems(
    name: str, installed: importlib.metadata.Distribution, pin: str | None
) -> list[str]:
    if pin is not None and installed.version != pin:
        return [f"{name} is {installed.version}, not {pin}"]
    tags = _tags(installed)
    if not any(_suits(tag) for tag in tags):
        built_for = tags[0] if tags else "an unknown platform"
        return [f"{name} is for {built_for}, not {_this_python()}"]
    damaged = [str(path) for path in installed.files or () if _is_damaged(path)]
    return [f"{name} lacks {damaged[0]}"] if damaged else []


def _tags(installed: importlib.metadata.Distribution) -> list[str]:
    """Return the tags of Pythons and platforms that a distribution was built for."""
    lines = (installed.read_text("WHEEL") or "").splitlines()
    return [line[4:].strip() for line in lines if line.startswith("Tag:")]


def _suits(tag: str) -> bool:
    """Whether a distribution with this tag runs here."""
    python, abi, where = tag.split("-")
    if where != "any" and not where.endswith((platform.machine(), "universal2")):
        return False
    if python.startswith("py"):
        return True
    version = re.fullmatch(r"cp3(\d+)", python)
    if version is None:
        return False
    # Modules with the stable interface run on later versions, too.
    minor = int(version[1])
    return minor == MINOR or (abi == "abi3" and minor < MINOR)


def _this_python() -> str:
    return f"cp3{MINOR} on {platform.machine()}"


def _is_damaged(path: importlib.metadata.PackagePath) -> bool:
    """Whether an installed file is missing or has another size than recorded.

    Scripts and compiled files are left out: pip moves the former, and rewrites both.
    """
    if path.parts[0] in ("..", "bin") or path.suffix == ".pyc" or path.size is None:
        return False
    try:
        size_bytes = pathlib.Path(str(path.locate())).stat().st_size
    except OSError:
        return True
    return bool(size_bytes != path.size)


def _install_dependencies(requirements: list[str], problems: list[str]) -> None:
    """Install the dependencies into an empty folder."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--target", str(NEXT)]
    command += ["--constraint", str(CONSTRAINTS), *requirements]
    status = subprocess.run(command, cwd=TARGET, check=False).returncode
    if status:
        raise BuildError(
            f"pip could not install the dependencies (status {status}, see above), "
            f"which are needed as {_listed(problems)}"
        )
    left = dependency_problems(NEXT, requirements)
    if left:
        raise BuildError(f"after the installation {_listed(left)}")


def _listed(problems: list[str]) -> str:
    shown = "; ".join(problems[:SHOWN_PROBLEMS])
    more = len(problems) - SHOWN_PROBLEMS
    return f"{shown}; and {more} more" if more > 0 else shown


# Sources.


def _has_sources() -> bool:
    package = DEPS / PACKAGE
    return package.is_dir() and digest_sources(package) == digest_sources(SOURCES)


def _add_sources() -> None:
    """Copy the sources, and compile them beside any new dependencies."""
    without = shutil.ignore_patterns(*NOT_INSTALLED)
    shutil.copytree(SOURCES, NEXT / PACKAGE, ignore=without)
    _compile(NEXT)


def _compile(deps: pathlib.Path) -> None:
    """Compile what is not, for daemons that can't write to the root."""
    compileall.compile_dir(deps, quiet=2, ddir=str(DEPS.relative_to(ROOT)))


def _check_import(paths: list[pathlib.Path]) -> None:
    """Check that the sources can be imported from these folders alone.

    :raises BuildError: they can't.
    """
    done = subprocess.run(
        [sys.executable, "-S", "-m", PACKAGE, "--version"],
        cwd=TARGET,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, paths))},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        last = done.stderr.strip().splitlines()[-1:] or ["no output"]
        raise BuildError(f"the sources can't be imported: {last[0]}")
    print(done.stdout.strip())


def _replace(installed: pathlib.Path, new: pathlib.Path) -> None:
    """Put a folder in the place of another."""
    PREVIOUS.mkdir()
    if installed.exists():
        installed.rename(PREVIOUS / installed.name)
    new.rename(installed)


def _describe_installed() -> str:
    package = DEPS / PACKAGE
    if not package.is_dir():
        return "nothing is installed"
    installed, wanted = digest_sources(package), digest_sources(SOURCES)
    return f"it holds the sources {installed}; those of the checkout are {wanted}"


if __name__ == "__main__":
    raise SystemExit(main())
