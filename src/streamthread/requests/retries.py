"""A budget for retries, so that they never multiply an overload."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows one retry for every so many requests, with a small reserve.

    :param fraction: retries per request.
    :param reserve: how many may be saved up.
    """

    def __init__(self, fraction: float = 0.1, reserve: float = 10.0) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def note_request(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(self._reserve, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Spend one retry, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
