"""How long callers elsewhere wait when the hall of the holder is lost."""

import asyncio
import typing as t

import attrs

from .loop_time import LoopTime
from .partition import Halls
from .partition import running_halls
from .support import Caller
from .support import Cell
from .support import job
from .support import until

DAEMONS = ["a", "a", "b", "b", "c", "c", "d", "d"]

BEGIN_S = (0.0, 0.3, 0.6)
"""When requests are sent, after the loss: before the heartbeats are overdue (0.4 s),
and while they are."""

ANSWERED_WITHIN_S = 0.6
"""The objective, in time for which the event loop of daemons and callers runs."""

KNOWN_ID = "a" * 16


@attrs.frozen
class _Answered:
    """An answer, after how long it came, and when its request was sent."""

    job_id: str
    begun_s: float
    status: int
    state: str
    took_s: float


async def _call(
    caller: Caller, method: str, job_id: str, begun_s: float, at: int
) -> _Answered:
    await asyncio.sleep(begun_s)
    body = job() if method == "POST" else b""
    async with LoopTime(stall_cost_s=0.0) as clock:
        status, answer, _ = await caller.call(method, job_id, body, at=at)
        state = str(answer.get("state", ""))
        return _Answered(job_id, begun_s, status, state, clock.elapsed_s())


async def _lose_holders_hall(cell: Cell, halls: Halls) -> list[int]:
    """Complete a job and cut the hall of the holder; return the daemons elsewhere."""
    holder = await cell.until_ready()
    await until(
        lambda: all(len(d._peers_elsewhere()) == 6 for d in cell.daemons),
        "all halls known to all",
    )
    hall = holder.node.hall
    others = [n for n, d in enumerate(cell.daemons) if d.node.hall != hall]
    caller = cell.caller()
    assert await caller.submit(KNOWN_ID, job(), others[0]) == 200
    await caller.until_state(KNOWN_ID, "completed", others[0])
    for at in others:
        assert await caller.state(KNOWN_ID, at) == "completed"
    halls.cut(hall)
    return others


def _describe(answers: t.Iterable[_Answered]) -> str:
    return ", ".join(f"{a.begun_s}: {a.status} {a.took_s:.2f}" for a in answers)


class TestCallersElsewhere:
    # Guards against submissions that wait for the answer of a holder that is gone.
    async def test_have_their_submissions_accepted_within_the_objective(self) -> None:
        async with running_halls(DAEMONS, {"desk": 2}) as (cell, halls):
            others = await _lose_holders_hall(cell, halls)
            caller = cell.caller()
            answers = await asyncio.gather(
                *(
                    _call(caller, "POST", f"{at}{n}" * 8, begun_s, at)
                    for n, begun_s in enumerate(BEGIN_S)
                    for at in others
                )
            )
            assert {a.status for a in answers} == {200}
            longest_s = max(a.took_s for a in answers)
            assert longest_s < ANSWERED_WITHIN_S, _describe(answers)
            # What was accepted runs, each job once.
            for answer in answers:
                await caller.until_state(answer.job_id, "completed", others[0])
            names = [started.task for started in cell.world.started]
            assert len(names) == len(set(names)) == 1 + len(answers)

    # Guards against callers that get no state until the next holder has replayed.
    async def test_learn_the_states_of_jobs_within_the_objective(self) -> None:
        async with running_halls(DAEMONS, {"desk": 2}) as (cell, halls):
            others = await _lose_holders_hall(cell, halls)
            caller = cell.caller()
            answers = await asyncio.gather(
                *(
                    _call(caller, "GET", KNOWN_ID, begun_s, at)
                    for begun_s in BEGIN_S
                    for at in others
                )
            )
            assert {(a.status, a.state) for a in answers} == {(200, "completed")}
            longest_s = max(a.took_s for a in answers)
            assert longest_s < ANSWERED_WITHIN_S, _describe(answers)
