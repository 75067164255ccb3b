"""The record of a case: what was sent, answered, started and ended, and when."""

import pathlib
import time
import typing as t

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the seconds since the case began."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def at_s(self, monotonic_s: float) -> float:
        """Return a time on the monotonic clock as seconds since the case began."""
        return monotonic_s - self._began_s

    def line(self, what: str, shown: bool = False, **fields: t.Any) -> None:
        """Write an event; `shown`: print it as well."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        text = f"{self.now_s():8.3f} {what} {details}".rstrip()
        self._file.write(text + "\n")
        self._file.flush()
        if shown:
            print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
