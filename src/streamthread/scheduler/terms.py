"""What a job was accepted with."""

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import OWN_ROW_REMEDY
from ..platform.manifest import AdvicePolicy
from ..platform.manifest import Route

__all__ = ["JobTerms"]


@attrs.frozen
class JobTerms:
    """What a job was accepted with, by the configuration of that time.

    A later configuration may change or remove the route; the terms of its jobs stay. A
    later one still decides which keys may ask about a job, as a removed key must lose
    effect at once, and how much its account may have running, as that protects others.

    Rows and calls contain the fields as they are; decoding checks their types.

    :param route: name of the route where the job was submitted.
    :param service: the pool whose runners run the job.
    :param priority: steps of jobs with a lower value are placed first.
    :param max_attempts: the job fails once one of its tasks has failed this often.
    :param stretch: the job's objective is to end within this multiple of the length of
        its longest chain of steps, plus ``target_s``.
    :param account: the client account that submitted the job; empty if the route needed
        no key.
    :param advice: restricts the steps to runners that the advice service permits; None
        if any runner may run them. UNSET if an earlier version, which did not record
        it, accepted the job: then the present policy of the route applies.
    """

    route: str
    service: str
    priority: int = 0
    max_attempts: Count = 1
    stretch: Amount = 1.0
    target_s: Amount = 0.0
    account: str = ""
    advice: AdvicePolicy | msgspec.UnsetType | None = msgspec.UNSET

    @classmethod
    def of_route(cls, route: Route, account: str = "") -> "JobTerms":
        """Return the terms of a job that an account submits at a route now."""
        return cls(
            route=route.name,
            service=route.service,
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            target_s=route.target_s,
            account=account,
            advice=route.advice,
        )

    def encode(self) -> bytes:
        """Encode the terms for another daemon."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, value: bytes, job_id: str) -> "JobTerms":
        """Decode what a daemon encoded; there may be other fields beside the terms.

        :param job_id: for errors.
        :raises UnreadableError: the value contains no terms of a job.
        """
        return _TERMS.decode(value, job_id)


_TERMS = Decoder[JobTerms](JobTerms, remedy=OWN_ROW_REMEDY)
