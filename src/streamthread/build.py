"""Which code a process runs."""

import argparse
import functools
import pathlib
import platform

import attrs

from . import __version__
from .sources import digest_sources

__all__ = ["Build", "add_version_option", "running_build"]


@attrs.frozen
class Build:
    """What tells the code of one process from that of another.

    :param sources: digest of the installed sources (:func:`.digest_sources`).
    :param python: version of the interpreter.
    :param machine: kind of processor, as the operating system names it.
    """

    version: str
    sources: str
    python: str
    machine: str

    def __str__(self) -> str:
        """Return the build as one line."""
        python = f"Python {self.python} on {self.machine}"
        return f"streamthread {self.version}, sources {self.sources}, {python}"


@functools.cache
def running_build() -> Build:
    """Return the build of this process, as installed when it is first asked for."""
    return Build(
        __version__,
        digest_sources(pathlib.Path(__file__).parent),
        platform.python_version(),
        platform.machine(),
    )


def add_version_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--version``, which prints the build."""
    parser.add_argument(
        "--version", action=_PrintBuild, nargs=0, help="print the build"
    )


class _PrintBuild(argparse.Action):
    """Prints the build when the option is used, since its digest takes time."""

    def __call__(
        self, parser: argparse.ArgumentParser, *unused: object, **options: object
    ) -> None:
        print(running_build())
        parser.exit()
