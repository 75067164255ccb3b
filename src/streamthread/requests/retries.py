"""A retry budget, which keeps retries from amplifying an overload."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that limits retries to a fraction of the requests.

    :param fraction: how many retries each request allows.
    :param reserve: how many unused retries may accumulate.
    """

    def __init__(self, fraction: float = 0.1, reserve: float = 10.0) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def note_request(self) -> None:
        """Add ``fraction`` of a retry to the budget, up to the reserve."""
        self._tokens = min(self._reserve, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Spend one retry and return True, or return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
