"""Client accounts in the soak: strangers, keys that are taken away, a limit."""

import asyncio
import itertools
import random
import time
import typing as t

from streamthread.standins.cell import CellWorld
from tools.soak_checks import OPEN_S
from tools.soak_checks import OVERLAP_S
from tools.soak_checks import run_spans
from tools.soak_checks import SubmittedJob
from tools.soak_checks import TASK_CPU
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["FLOOD_ACCOUNTS", "LIMITS", "AccountCalls", "account_of", "check_limits"]

PROBES_PER_S = 3.0
"""How often somebody asks for what is not theirs."""

ROTATE_S = 2.5
"""An account's second key is replaced by another one in this time on average."""

LIMITS = {"ann": 12 * TASK_CPU, "bob": 0}
"""Processor that an account may have running; 0: no limit. Its jobs ask for some six
tasks at once, its lasting ones for as many: with four, they wait past a play's end."""

ACCOUNTS = tuple(LIMITS)

SERVED = (200, 404, 410)
"""What only callers are told whose key opens an account."""

STRANGE_KEY = "strange"


FLOOD_ACCOUNTS = {"cat": ("00000001", 10), "dan": ("00000002", 2)}
"""Further accounts: the first half of their job ids, which is random in all others, and
their weights. The second one floods a pool."""


def account_of(job_id: str) -> str:
    """Return the account that hands a job in."""
    for account, (prefix, _) in FLOOD_ACCOUNTS.items():
        if job_id.startswith(prefix):
            return account
    return ACCOUNTS[int(job_id, 16) % len(ACCOUNTS)]


def lasting_key(account: str) -> str:
    """Return the key of an account that stays."""
    return f"key-of-{account}"


class AccountCalls:
    """Calls under keys that open nothing, or another account; keys that change.

    :param write_manifest: writes the next version of the configuration.
    :param floods: there are also the accounts of a flood.
    """

    def __init__(
        self,
        soak: SoakView,
        choices: random.Random,
        write_manifest: t.Callable[[], t.Awaitable[None]],
        floods: bool = False,
    ) -> None:
        self._flood_accounts = [
            {"name": name, "apiKeys": [lasting_key(name)], "weight": weight}
            for name, (_, weight) in FLOOD_ACCOUNTS.items()
            if floods
        ]
        self._soak = soak
        self._random = choices
        self._write_manifest = write_manifest
        self._numbers = itertools.count(1)
        self._second_keys = {account: f"second-{account}-0" for account in ACCOUNTS}
        self._taken_keys: list[str] = []
        self._set_accounts()

    def _set_accounts(self) -> None:
        self._soak.world.accounts = [
            {
                "name": account,
                "apiKeys": [lasting_key(account), self._second_keys[account]],
                "weight": 10,
                "maximum": {"cpu": cpu, "memMb": 0, "gpu": 0},
            }
            for account, cpu in LIMITS.items()
        ] + self._flood_accounts

    def key_for(self, job: SubmittedJob) -> str:
        """Return the key under which a job is handed in, asked for and cancelled."""
        return lasting_key(account_of(job.job_id))

    async def play(self, until_s: float) -> None:
        """Probe and rotate keys until a time."""
        rotate_share = 1 / (ROTATE_S * PROBES_PER_S)
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(PROBES_PER_S))
            if self._random.random() < rotate_share:
                await self._rotate()
            else:
                self._soak.spawn(self._probe())

    async def _rotate(self) -> None:
        account = self._random.choice(ACCOUNTS)
        self._taken_keys.append(self._second_keys[account])
        self._second_keys[account] = f"second-{account}-{next(self._numbers)}"
        self._soak.note(f"another key of {account}")
        self._set_accounts()
        await self._write_manifest()

    async def _probe(self) -> None:
        daemon = self._random.choice(self._soak.daemons)
        method = self._random.choice(["GET", "DELETE", "POST"])
        job_id = f"{self._random.getrandbits(64):016x}"
        known = [
            job
            for job in self._soak.jobs.values()
            if job.accepted and account_of(job.job_id) in LIMITS
        ]
        if known and self._random.random() < 0.5:
            await self._ask_for_another(daemon, method, self._random.choice(known))
            return
        job = SubmittedJob(job_id, "desk")
        status, _ = await self._call(daemon, method, job, STRANGE_KEY)
        if status in SERVED:
            self._soak.broken.append(f"ROUTE a stranger's {method} got {status}")

    async def _ask_for_another(
        self, daemon: Daemon, method: str, job: SubmittedJob
    ) -> None:
        others = [name for name in ACCOUNTS if name != account_of(job.job_id)]
        key = lasting_key(others[0])
        status, state = await self._call(daemon, method, job, key)
        # A daemon that hears no holder leaves any change in the inbox, and says so
        # without knowing the job: the holder drops there what is another account's.
        left_in_inbox = method != "GET" and state == "pending"
        if status == 200 and not left_in_inbox:
            text = f"ROUTE {method} of another's {job.job_id} got {state}"
            self._soak.broken.append(text)

    async def _call(
        self, daemon: Daemon, method: str, job: SubmittedJob, key: str
    ) -> tuple[int, str]:
        body = b'{"spec":"","steps":[{"count":1,"cpu":1}]}' if method == "POST" else b""
        return await self._soak.call(job, method, daemon, body, key)

    async def check_keys(self) -> None:
        """All daemons know the newest configuration: each asks for its keys."""
        for daemon in self._soak.daemons:
            for key, allowed in self._expected():
                status = 0
                for _ in range(5):
                    job = SubmittedJob("", "desk")
                    status, _ = await self._call(daemon, "GET", job, key)
                    if status not in (0, 503, 504):
                        break
                    await asyncio.sleep(0.5)
                if (status == 200) is not allowed:
                    text = f"ROUTE {daemon.name} answers {status} to {key}"
                    self._soak.broken.append(text)

    def _expected(self) -> t.Iterator[tuple[str, bool]]:
        yield STRANGE_KEY, False
        for key in self._taken_keys:
            yield key, False
        for account in ACCOUNTS:
            yield lasting_key(account), True
            yield self._second_keys[account], True


def check_limits(
    world: CellWorld, jobs: t.Mapping[str, SubmittedJob]
) -> t.Iterator[str]:
    """Yield a line for each account of which too much ran at once."""
    changes: dict[str, list[tuple[float, int]]] = {name: [] for name in LIMITS}
    for started, end_s, _ in run_spans(world):
        job_id = started.task.split(".")[0]
        cpu = jobs[job_id].task_cpu if job_id in jobs else TASK_CPU
        found = changes.setdefault(account_of(job_id), [])
        found.append((started.at_s + OVERLAP_S, cpu))
        if end_s < OPEN_S:
            found.append((max(end_s, started.at_s + OVERLAP_S), -cpu))
    for account, limit in LIMITS.items():
        running = most = 0
        most_at_s = 0.0
        for at_s, cpu in sorted(changes[account]):
            running += cpu
            if running > most:
                most, most_at_s = running, at_s
        if limit and most > limit:
            runs = " ".join(_runs_at(world, account, most_at_s))
            yield f"QUOTA {most} of {account} ran at once, {limit} may: {runs}"


def _runs_at(world: CellWorld, account: str, at_s: float) -> t.Iterator[str]:
    """Yield what ran of an account at a moment: since when, until when and how."""
    for started, end_s, how in run_spans(world):
        if account_of(started.task.split(".")[0]) != account:
            continue
        if started.at_s <= at_s - OVERLAP_S <= end_s:
            since_s, left_s = at_s - started.at_s, end_s - at_s
            yield (
                f"{started.task}/{started.run}@{started.runner_id}"
                f"{' late' if started.late else ''}:-{since_s:.2f}+{left_s:.2f} {how};"
            )
