"""Reports states of jobs from the store while the holder does not answer."""

import asyncio

import logbook

from ..cell import cell_pb2 as pb
from ..cell import TABLE_INBOX
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..holder.admission import AdmissionPolicy
from ..holder.context import ManifestSource
from ..holder.replay import read_job
from ..platform.store import RowStore

__all__ = ["StoredStates"]

log = logbook.Logger("streamthread.forwarding")

MAX_READS = 2
"""Number of requests for which one daemon reads at the same time. A new holder reads
all jobs meanwhile."""

READ_TIMEOUT_S = 0.3
"""The three reads take 20 ms; a store that is slow is left to the next holder."""


class StoredStates:
    """Reads what the last holder has committed of one job.

    The state of a job that has ended is final. The state of an open job is that of the
    last commit, as a holder without the store reports it. A job that is not found may
    be on its way, so that nothing is said of it.

    :param answered: number of requests that were answered.
    """

    def __init__(self, store: RowStore, part: str, documents: ManifestSource) -> None:
        self._store = store
        self._part = part
        self._admission = AdmissionPolicy(documents)
        self._reading = 0
        self.answered = 0

    @property
    def busy(self) -> bool:
        """Whether this daemon reads for as many requests as it may."""
        return self._reading >= MAX_READS

    async def find(self, request: pb.CallRequest) -> pb.CallReply | None:
        """Return the state of a job, or None if the store does not tell it.

        :raises StoreUnavailableError: the store was not read; call again.
        """
        self._reading += 1
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                reply = await self._read(request)
        except (
            BadInputError,
            OutcomeUnknownError,
            StoreUnavailableError,
            TimeoutError,
        ) as error:
            log.info(
                "state-unread", extra={"job": request.job_id, "error": repr(error)}
            )
            if isinstance(error, BadInputError):
                return None
            raise StoreUnavailableError(
                "the job's rows were not read in time",
                remedy="they are read again while the caller waits",
                location=request.job_id,
            ) from error
        finally:
            self._reading -= 1
        if reply is not None:
            self.answered += 1
            log.info(
                "state-from-store", extra={"job": request.job_id, "state": reply.state}
            )
        return reply

    async def _read(self, request: pb.CallRequest) -> pb.CallReply | None:
        """Read the inbox first: its rows are removed once the job's rows have them."""
        waits = await self._has_inbox_rows(request.job_id)
        job = await read_job(self._store, self._part, request.job_id)
        if job is None or (waits and not job.over):
            # The inbox may hold the job for another account, or its cancel.
            return None
        if not self._admission.refers_to(job, request.route, request.account):
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    async def _has_inbox_rows(self, job_id: str) -> bool:
        start = f"{job_id}."
        page = await self._store.read(TABLE_INBOX, self._part, start=start, limit=1)
        return any(row.key.startswith(start) for row in page.rows)
