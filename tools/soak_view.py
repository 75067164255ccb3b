"""What the parts of the soak need of a run: platform, daemons, jobs and findings."""

import random
import signal
import typing as t
from abc import ABC
from abc import abstractmethod

from streamthread.standins.cell import CellWorld
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon

__all__ = ["SoakPart", "SoakView"]


class SoakView(ABC):
    """One run, as its faults and callers see it.

    :param random: the choices of the callers and of the faults that were first.
    :param daemons: those that are there; :attr:`removed`: those that went for good.
    :param jobs: all that callers have handed in, by id.
    :param broken: the promises that were broken, in words.
    :param faults: what faults have begun, in words.
    :param busy: the names of daemons that a fault has now.
    """

    random: random.Random
    world: CellWorld
    daemons: list[Daemon]
    removed: list[Daemon]
    jobs: dict[str, SubmittedJob]
    broken: list[str]
    faults: list[str]
    busy: set[str]

    @abstractmethod
    def note(self, text: str) -> None:
        """Keep what fault begins."""

    @abstractmethod
    def free(self) -> list[Daemon]:
        """Return the daemons that no fault has now."""

    @abstractmethod
    def spawn(self, call: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Let something run beside; it is waited for before the checks."""

    @abstractmethod
    def restart(self, daemon: Daemon, number: signal.Signals, pause_s: float) -> None:
        """End a daemon by a signal and start it again after a pause, beside."""

    @abstractmethod
    async def one_job(self, choices: random.Random, pool: str = "") -> None:
        """Submit a job that can be done, and cancel it now and then."""

    @abstractmethod
    async def submit(
        self, job: SubmittedJob, body: bytes, choose: t.Callable[[], Daemon]
    ) -> None:
        """Submit a job until it is accepted, at a daemon that is chosen each time."""

    @abstractmethod
    async def cancel(self, job: SubmittedJob, choose: t.Callable[[], Daemon]) -> None:
        """Cancel a job until it is confirmed, at a daemon that is chosen each time."""

    @abstractmethod
    async def call(
        self,
        job: SubmittedJob,
        method: str,
        daemon: Daemon,
        body: bytes = b"",
        key: str = "",
    ) -> tuple[int, str]:
        """Call a daemon; status 0 where no whole answer came.

        :param key: of a client account; else that of the job's own.
        """

    @abstractmethod
    async def metric(self, daemon: Daemon, name: str) -> int:
        """Return a metric of a daemon; 0: none told.

        :param name: a pattern.
        """


class SoakPart:
    """A part of a run that makes choices of its own.

    :param choices: its random source, so that other parts do not change its choices.
    """

    def __init__(self, soak: SoakView, choices: random.Random) -> None:
        self._soak = soak
        self._random = choices

    def _any(self) -> Daemon:
        """Return one of the daemons that are there."""
        return self._random.choice(self._soak.daemons)
