"""What the duties of a holder need of it."""

import typing as t
from abc import ABC
from abc import abstractmethod

from ..cell import CommitLog
from ..cell import TakenCell
from ..platform.store import Page
from ..runners import RunnerLink
from ..scheduler import Engine
from .context import HolderContext

__all__ = ["DutyOwner"]


class DutyOwner(ABC):
    """The holder, as its duties see it.

    :param taken: how the cell was taken over.
    :param links: the runners that are listed, by runner id.
    """

    token: int
    taken: TakenCell
    context: HolderContext
    engine: Engine
    log: CommitLog
    links: dict[str, RunnerLink]

    @property
    @abstractmethod
    def trusted(self) -> bool:
        """Whether this daemon may rely on holding the cell."""

    @property
    @abstractmethod
    def releasing(self) -> bool:
        """Whether the cell is being given up: nothing new is ordered."""

    @abstractmethod
    async def until_trusted(self) -> None:
        """Return once this daemon may rely on holding the cell."""

    @abstractmethod
    async def read_cell_table(self, table: str) -> Page:
        """Read one of the cell's tables, however long the store takes."""

    @abstractmethod
    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a call side by side, for as long as the cell is held."""

    @abstractmethod
    def kick(self) -> None:
        """Have the queue looked at soon."""

    @abstractmethod
    def on_life_over(self, link: RunnerLink, why: str) -> None:
        """Learn that this life of the runner has ended."""
