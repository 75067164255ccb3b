"""A digest of the sources of a package, to tell builds apart.

It imports nothing outside the standard library: the build of the deploy file uses it
before the dependencies are installed.
"""

import hashlib
import pathlib

__all__ = ["NOT_INSTALLED", "digest_sources"]

DIGEST_DIGITS = 12
"""How many hexadecimal digits of a digest are shown."""

NOT_INSTALLED = frozenset({"tests", "__pycache__"})
"""Names of the folders that the build leaves out."""


def digest_sources(package: pathlib.Path) -> str:
    """Return a digest of the names and the contents of a package's Python files.

    It is the same for a checkout and for what was installed from it.
    """
    digest = hashlib.sha256()
    for path in sorted(_python_files(package)):
        content = path.read_bytes()
        name = path.relative_to(package).as_posix()
        digest.update(f"{name}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()[:DIGEST_DIGITS]


def _python_files(folder: pathlib.Path) -> list[pathlib.Path]:
    found: list[pathlib.Path] = []
    for path in folder.iterdir():
        if path.is_dir():
            if path.name not in NOT_INSTALLED:
                found += _python_files(path)
        elif path.suffix == ".py":
            found.append(path)
    return found
