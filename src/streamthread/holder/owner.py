"""The part of the holder that its duties use."""

import typing as t
from abc import ABC
from abc import abstractmethod

from ..cell import AcquiredCell
from ..cell import CommitLog
from ..platform.store import Page
from ..runners import RunnerLink
from ..scheduler import Engine
from .advice_coverage import Coverage
from .context import HolderContext
from .job_rows import JobRows

__all__ = ["DutyOwner"]

T = t.TypeVar("T")
"""The result of a call that is made while the lease is valid."""


class DutyOwner(ABC):
    """What the duties need from the holder.

    :param taken: how the cell was acquired.
    :param rows: persists the jobs.
    :param links: links to the listed runners, by runner id.
    """

    token: int
    taken: AcquiredCell
    context: HolderContext
    engine: Engine
    log: CommitLog
    rows: JobRows
    links: dict[str, RunnerLink]

    @property
    @abstractmethod
    def trusted(self) -> bool:
        """Whether this daemon's lease on the cell is certainly valid."""

    @property
    @abstractmethod
    def releasing(self) -> bool:
        """Whether the cell is being released; no new orders are sent then."""

    @abstractmethod
    async def until_trusted(self) -> None:
        """Wait until this daemon's lease on the cell is certainly valid."""

    @abstractmethod
    async def while_trusted(self, call: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return a call's result; cancel it once the lease is not certainly valid.

        :raises OrderAbortedError: it was cancelled, and may have been carried out.
        """

    @abstractmethod
    async def read_cell_table(self, table: str) -> Page:
        """Read one of the cell's tables, retrying until the store answers."""

    @abstractmethod
    def policy_coverage(self) -> dict[str, Coverage]:
        """Return by pool whether policies permit the runners that waiting steps need.

        Pools without a waiting step that has a policy are left out.
        """

    @abstractmethod
    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine concurrently for as long as the cell is held."""

    @abstractmethod
    def kick(self) -> None:
        """Schedule a pass over the queue soon."""

    @abstractmethod
    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        """Handle the exit of this runner incarnation."""
