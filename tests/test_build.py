"""The build of the deploy file, on a small project with small dependencies."""

import asyncio
import collections.abc as c
import contextlib
import importlib.util
import os
import pathlib
import shutil
import signal
import sys
import zipfile

import attrs
import pytest

REPOSITORY = pathlib.Path(__file__).parents[1]

PYPROJECT = """
[project]
name = "streamthread"
dependencies = ["one>=1.0", "two>=1.0"]
"""

MAIN = """
import sys
import one, two, three
{statement}
assert sys.argv[1:] == ["--version"]
print("runs", one.version, two.version)
"""


@attrs.frozen
class Outcome:
    """How a build or a start of the installed sources ended."""

    status: int
    output: str
    errors: str


class Project:
    """A checkout with the project's build, and a folder of wheels as its registry."""

    def __init__(self, root: pathlib.Path) -> None:
        self.root = root / "checkout"
        self.wheels = root / "wheels"
        self.deps = self.root / "target" / "deps"
        self.package = self.root / "src" / "streamthread"
        self.package.mkdir(parents=True)
        self.wheels.mkdir()
        shutil.copytree(REPOSITORY / "deploy", self.root / "deploy")
        sources = REPOSITORY / "src" / "streamthread" / "sources.py"
        shutil.copy(sources, self.package)
        (self.package / "__init__.py").write_text("")
        (self.root / "pyproject.toml").write_text(PYPROJECT)
        self.write_main()
        for name in ("one", "three"):
            self.add_wheel(name, "1.0")
        self.add_wheel("two", "1.0", requires="three")
        self.pin("1.0")

    def write_main(self, statement: str = "") -> None:
        """Write what the installed sources do when they are started."""
        (self.package / "__main__.py").write_text(MAIN.format(statement=statement))

    def pin(self, version: str) -> None:
        """Pin the dependency `one`; the others stay as they are."""
        pins = f"one=={version}\ntwo==1.0\nthree==1.0\n"
        (self.root / "constraints.txt").write_text(pins)

    def add_wheel(
        self, name: str, version: str, requires: str = "", tag: str = "py3-none-any"
    ) -> None:
        """Offer a distribution in the registry."""
        info = f"{name}-{version}.dist-info"
        metadata = f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n"
        if requires:
            metadata += f"Requires-Dist: {requires}\n"
        files = {
            f"{name}.py": f"version = {version!r}\n",
            f"{info}/METADATA": metadata,
            f"{info}/WHEEL": f"Wheel-Version: 1.0\nTag: {tag}\n",
        }
        record = "".join(f"{path},,{len(text)}\n" for path, text in files.items())
        files[f"{info}/RECORD"] = record + f"{info}/RECORD,,\n"
        with zipfile.ZipFile(self.wheels / f"{name}-{version}-{tag}.whl", "w") as file:
            for path, text in files.items():
                file.writestr(path, text)

    def lose_registry(self) -> None:
        """Let no distribution be found any more."""
        shutil.rmtree(self.wheels)

    @contextlib.asynccontextmanager
    async def building(self) -> c.AsyncIterator[asyncio.subprocess.Process]:
        """Start a build; its processes are ended at the end."""
        path = f"{pathlib.Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
        process = await asyncio.create_subprocess_exec(
            "sh",
            "deploy/build.sh",
            cwd=self.root,
            env={
                "PATH": path,
                "HOME": str(self.root),
                "PIP_CONFIG_FILE": os.devnull,
                "PIP_NO_INDEX": "1",
                "PIP_FIND_LINKS": str(self.wheels),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        try:
            yield process
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()

    async def build(self) -> Outcome:
        """Build, and wait for the end."""
        async with self.building() as process:
            return await _outcome(process)

    async def run(self) -> Outcome:
        """Start what is installed, as the deploy file does."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-S", "-m", "streamthread", "--version"),
            cwd=self.root,
            env={"PYTHONPATH": str(self.deps), "PYTHONDONTWRITEBYTECODE": "1"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        return await _outcome(process)


async def _outcome(process: asyncio.subprocess.Process) -> Outcome:
    output, errors = await process.communicate()
    assert process.returncode is not None
    return Outcome(process.returncode, output.decode(), errors.decode())


@pytest.fixture
async def built(tmp_path: pathlib.Path) -> Project:
    """Return a project that was built once."""
    project = Project(tmp_path)
    outcome = await project.build()
    assert outcome.status == 0, outcome.errors
    assert (await project.run()).output == "runs 1.0 1.0\n"
    return project


class TestWithoutRegistry:
    # Guards against a build that removes dependencies which it can't install again.
    async def test_installs_new_sources_beside_dependencies_of_any_age(
        self, built: Project
    ) -> None:
        built.lose_registry()
        built.write_main("print('new')")
        later = 2_000_000_000
        for name in ("constraints.txt", "pyproject.toml"):
            os.utime(built.root / name, (later, later))
        outcome = await built.build()
        assert outcome.status == 0, outcome.errors
        assert (await built.run()).output == "new\nruns 1.0 1.0\n"

    # Guards against the same, where a dependency really is another one.
    async def test_keeps_the_build_that_works(self, built: Project) -> None:
        built.lose_registry()
        built.pin("2.0")
        built.write_main("print('new')")
        outcome = await built.build()
        assert outcome.status == 1
        assert "one is 1.0, not 2.0" in outcome.errors
        assert "target/deps is as it was" in outcome.errors
        assert (await built.run()).output == "runs 1.0 1.0\n"

    # Guards against a first build that ends as if it had installed something.
    async def test_says_that_nothing_is_installed(self, tmp_path: pathlib.Path) -> None:
        project = Project(tmp_path)
        project.lose_registry()
        outcome = await project.build()
        assert outcome.status == 1
        assert "nothing is installed" in outcome.errors
        assert not project.deps.exists()


class TestContent:
    async def test_of_a_new_pin_is_installed(self, built: Project) -> None:
        built.add_wheel("one", "2.0")
        built.pin("2.0")
        assert (await built.build()).status == 0
        assert (await built.run()).output == "runs 2.0 1.0\n"

    # Guards against sources that count as installed by their times.
    async def test_of_sources_counts_whatever_their_times_and_sizes(
        self, built: Project
    ) -> None:
        main = built.package / "__main__.py"
        before = main.stat()
        main.write_text(main.read_text().replace('"runs"', '"walk"'))
        os.utime(main, ns=(before.st_atime_ns, before.st_mtime_ns))
        assert main.stat().st_size == before.st_size
        assert (await built.build()).status == 0
        assert (await built.run()).output == "walk 1.0 1.0\n"

    async def test_that_is_current_is_left_alone(self, built: Project) -> None:
        built.lose_registry()
        before = {path: path.stat().st_ino for path in built.deps.rglob("*")}
        assert (await built.build()).status == 0
        assert {p: p.stat().st_ino for p in built.deps.rglob("*")} == before

    @pytest.mark.parametrize("name", ["one.py", "three.py", "three-1.0.dist-info"])
    async def test_that_is_missing_is_installed_again(
        self, built: Project, name: str
    ) -> None:
        path = built.deps / name
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
        assert (await built.build()).status == 0
        assert (await built.run()).output == "runs 1.0 1.0\n"

    async def test_that_is_cut_short_is_installed_again(self, built: Project) -> None:
        (built.deps / "one.py").write_text("")
        assert (await built.build()).status == 0
        assert (await built.run()).output == "runs 1.0 1.0\n"

    # Guards against a build folder that was carried over from another machine.
    @pytest.mark.parametrize(
        "tag",
        [
            "cp39-cp39-any",
            "cp399-abi3-any",
            "pp310-pypy310_pp73-any",
            "py3-none-manylinux2014_vax",
        ],
    )
    async def test_for_another_python_or_machine_is_replaced(
        self, built: Project, tag: str
    ) -> None:
        wheel = built.deps / "one-1.0.dist-info" / "WHEEL"
        theirs = wheel.read_text().replace("py3-none-any", tag)
        wheel.write_text(theirs)
        record = wheel.with_name("RECORD")
        record.write_text(record.read_text().replace("WHEEL,", "WHEEL,sha256=x"))
        assert (await built.build()).status == 0
        assert "py3-none-any" in wheel.read_text()
        wheel.write_text(theirs)
        built.lose_registry()
        outcome = await built.build()
        assert outcome.status == 1
        assert f"one is for {tag}, not cp" in outcome.errors


class TestCopiedFolder:
    # Guards against daemons that compile everything at each start.
    async def test_is_compiled_again_for_its_new_times(self, built: Project) -> None:
        files = [built.deps / "one.py", built.deps / "streamthread" / "sources.py"]
        for path in files:
            os.utime(path, (1_000_000_000, 1_000_000_000))
        assert (await built.build()).status == 0
        for path in files:
            compiled = pathlib.Path(importlib.util.cache_from_source(str(path)))
            recorded_s = int.from_bytes(compiled.read_bytes()[8:12], "little")
            assert recorded_s == int(path.stat().st_mtime)


class TestSourcesThatFail:
    # Guards against installed sources that no daemon can import.
    async def test_leave_the_build_that_works(self, built: Project) -> None:
        built.write_main("import four")
        outcome = await built.build()
        assert outcome.status == 1
        assert "No module named 'four'" in outcome.errors
        assert (await built.run()).output == "runs 1.0 1.0\n"

    # Guards against a dependency that only this machine's own packages satisfy.
    async def test_include_those_with_packages_from_elsewhere(
        self, built: Project
    ) -> None:
        built.write_main("import pip")
        outcome = await built.build()
        assert outcome.status == 1
        assert "No module named 'pip'" in outcome.errors


class TestBuildThatWasKilled:
    # Guards against half an installation in place of the one before.
    async def test_leaves_the_build_that_works(self, built: Project) -> None:
        mark = built.root / "importing"
        wait = f"open({str(mark)!r}, 'w').close(); import time; time.sleep(60)"
        built.write_main(wait)
        async with built.building() as process:
            while not mark.exists():
                assert process.returncode is None
                await asyncio.sleep(0.01)
        assert (built.root / "target" / "next").exists()
        assert (await built.run()).output == "runs 1.0 1.0\n"
        built.write_main("print('new')")
        assert (await built.build()).status == 0
        assert (await built.run()).output == "new\nruns 1.0 1.0\n"
        assert sorted(p.name for p in (built.root / "target").iterdir()) == [
            ".build-lock",
            "deps",
        ]

    # Guards against the same between the two renames of a replacement.
    @pytest.mark.parametrize("name", ["", "streamthread"])
    async def test_in_a_replacement_is_undone(self, built: Project, name: str) -> None:
        built.lose_registry()
        installed = built.deps / name
        previous = built.root / "target" / "previous"
        previous.mkdir()
        installed.rename(previous / installed.name)
        assert (await built.build()).status == 0
        assert (await built.run()).output == "runs 1.0 1.0\n"


class TestBuildsAtOnce:
    # Guards against builds that remove or mix what the other one installs.
    async def test_all_end_with_a_whole_installation(
        self, tmp_path: pathlib.Path
    ) -> None:
        project = Project(tmp_path)
        outcomes = await asyncio.gather(*(project.build() for _ in range(3)))
        assert [outcome.status for outcome in outcomes] == [0, 0, 0]
        assert (await project.run()).output == "runs 1.0 1.0\n"
