"""How the progress of a large job is divided into rows of a bounded size."""

import attrs

from ..platform.callers import JobRequest

__all__ = ["CHUNK_TASKS", "Chunk", "is_chunked"]

CHUNK_TASKS = 64
"""Number of consecutive tasks of an occurrence whose progress is in one row. A task
takes some 35 bytes there, and 0.5 KB with two runs and the longest ids of runners."""

MAX_UNCHUNKED_TASKS = 2 * CHUNK_TASKS
"""The progress of a job with at most this many tasks is one row: such a row is written
at once, and is not much larger than a chunk."""

MAX_DIGITS = 16
"""Number of digits of the largest count that a caller may send."""


@attrs.frozen(order=True)
class Chunk:
    """A part of a job's progress.

    :param occurrence: the number of an occurrence.
    :param number: counts the chunks of the occurrence from 0.
    """

    occurrence: int
    number: int

    @classmethod
    def at(cls, occurrence: int, position: int) -> "Chunk":
        """Return the chunk of the task at a position among all of an occurrence."""
        return cls(occurrence, position // CHUNK_TASKS)

    @property
    def positions(self) -> slice:
        """The positions of its tasks among all tasks of the occurrence."""
        first = self.number * CHUNK_TASKS
        return slice(first, first + CHUNK_TASKS)

    def key(self, job_id: str) -> str:
        """Return the key of its row."""
        return f"{job_id}.{self.occurrence}.{self.number}"

    @classmethod
    def parse_key(cls, key: str) -> "tuple[str, Chunk] | None":
        """Return the job id and the chunk of a row's key, or None if it is no such key.

        Ids may contain dots.
        """
        job_id, *numbers = key.rsplit(".", 2)
        if not job_id or len(numbers) < 2 or not all(map(_is_number, numbers)):
            return None
        return job_id, cls(int(numbers[0]), int(numbers[1]))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def is_chunked(request: JobRequest) -> bool:
    """Whether the progress of a job is divided into chunks.

    This follows from the submission alone, so that each daemon looks for it in the same
    rows.
    """
    size = max(request.task_count, len(request.steps))
    return size * max(1, request.times) > MAX_UNCHUNKED_TASKS
