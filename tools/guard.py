"""What a guard is: a few lines of the product that keep a promise."""

import attrs

__all__ = ["Guard"]


@attrs.frozen
class Guard:
    """A piece of the product, and what stands there without it.

    :param file: below ``src/streamthread``.
    :param also: a second text of the file, and what stands there without it.
    """

    name: str
    file: str
    present: str
    without: str
    tests: tuple[str, ...]
    also: tuple[str, str] = ("", "")
