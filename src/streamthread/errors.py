"""The one tree of errors; every message names the remedy."""

import typing as t

__all__ = [
    "AnswerOverdueError",
    "BadInputError",
    "ConflictError",
    "NoAnswerError",
    "NotFoundError",
    "NotHolderError",
    "OrderAbortedError",
    "OutcomeUnknownError",
    "PeerUnavailableError",
    "SelectorError",
    "SettingsError",
    "StoreThrottledError",
    "StoreUnavailableError",
    "StreamthreadError",
    "UnreadableError",
    "leaf_errors",
]


class StreamthreadError(Exception):
    """Base of all errors of this package.

    :param message: what happened.
    :param remedy: what the reader can do about it.
    :param location: where: a JSON path, a row key, a column, an address.
    """

    kind: t.ClassVar[str] = "error"

    def __init__(self, message: str, *, remedy: str, location: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy
        self.location = location

    def __str__(self) -> str:
        place = f"{self.location}: " if self.location else ""
        return f"{place}{self.message}; {self.remedy}"


def leaf_errors(group: BaseExceptionGroup[t.Any]) -> list[StreamthreadError]:
    """Return the errors of this package in a group, however deep."""
    found: list[StreamthreadError] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(leaf_errors(error))
        elif isinstance(error, StreamthreadError):
            found.append(error)
    return found


class BadInputError(StreamthreadError):
    """Input from an operator or a caller that cannot be accepted."""

    kind = "bad-input"


class SettingsError(BadInputError):
    """A settings or configuration file with a mistake at a JSON path."""

    kind = "bad-settings"


class SelectorError(BadInputError):
    """A selector that cannot be parsed; the location is the column."""

    kind = "bad-selector"


class UnreadableError(BadInputError):
    """Something that another process wrote and that is not what it should be.

    :param key: which row, call or entry it is.
    :param field: a path to the part that is wrong, such as ``$.capacity.cpu``; ``$``
        where the whole is.
    """

    kind = "unreadable"

    def __init__(
        self, message: str, *, remedy: str, key: str = "", field: str = "$"
    ) -> None:
        location = f"{key} at {field}" if key else field
        super().__init__(message, remedy=remedy, location=location)
        self.key = key
        self.field = field


class UnknownKindError(UnreadableError):
    """A record of a kind that this version does not know."""

    kind = "unknown-kind"


class NotFoundError(StreamthreadError):
    """The named thing does not exist."""

    kind = "not-found"


class ConflictError(StreamthreadError):
    """Somebody else changed the same thing first."""

    kind = "conflict"


class NotHolderError(StreamthreadError):
    """This daemon does not hold the shard that the operation needs."""

    kind = "not-holder"


class PeerUnavailableError(StreamthreadError):
    """Another daemon could not be reached."""

    kind = "peer-unavailable"


class StoreUnavailableError(StreamthreadError):
    """The platform's service refused or could not be reached; nothing was done."""

    kind = "store-unavailable"


class StoreThrottledError(StoreUnavailableError):
    """The platform's service is over its rate; nothing was done."""

    kind = "store-throttled"


class OutcomeUnknownError(StreamthreadError):
    """The answer was lost; whether the effect took place is not known."""

    kind = "outcome-unknown"


class OrderAbortedError(OutcomeUnknownError):
    """An order was taken back under way; it may have been carried out before."""

    kind = "order-aborted"


class NoAnswerError(OutcomeUnknownError):
    """No answer came in time, and the connection was not closed either."""

    kind = "no-answer"


class AnswerOverdueError(NoAnswerError):
    """An answer takes longer than usual; its connection may have stopped responding."""

    kind = "answer-overdue"
