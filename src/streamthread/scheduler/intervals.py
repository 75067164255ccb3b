"""Sets of whole numbers that are kept as intervals."""

import bisect
import typing as t
from collections.abc import Iterator
from collections.abc import Set

__all__ = ["IntervalSet"]

T = t.TypeVar("T")
"""The type of the elements of a combined set."""


class IntervalSet(Set[int]):
    """A set of whole numbers whose size in memory depends on its gaps alone.

    :param numbers: the numbers that it contains at first.
    """

    def __init__(self, numbers: t.Iterable[int] = ()) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._count = 0
        for number in numbers:
            self.add(number)

    @classmethod
    def of_intervals(cls, intervals: t.Iterable[tuple[int, int]]) -> "IntervalSet":
        """Return a set of intervals, each with its first and its last number.

        :raises ValueError: they are not in rising order, or overlap.
        """
        found = cls()
        for first, last in intervals:
            if last < first or (found._ends and first <= found._ends[-1]):
                raise ValueError(f"the interval {first} to {last} is out of order")
            found._starts.append(first)
            found._ends.append(last)
            found._count += last - first + 1
        return found

    @property
    def intervals(self) -> list[tuple[int, int]]:
        """The first and the last number of each interval, rising."""
        return list(zip(self._starts, self._ends, strict=True))

    def add(self, number: int) -> None:
        """Add a number."""
        place = bisect.bisect_right(self._starts, number)
        if place and number <= self._ends[place - 1]:
            return
        self._count += 1
        joins_left = place > 0 and self._ends[place - 1] == number - 1
        joins_right = place < len(self._starts) and self._starts[place] == number + 1
        if joins_left and joins_right:
            self._ends[place - 1] = self._ends.pop(place)
            del self._starts[place]
        elif joins_left:
            self._ends[place - 1] = number
        elif joins_right:
            self._starts[place] = number
        else:
            self._starts.insert(place, number)
            self._ends.insert(place, number)

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        place = bisect.bisect_right(self._starts, number)
        return place > 0 and number <= self._ends[place - 1]

    def __iter__(self) -> Iterator[int]:
        for first, last in zip(self._starts, self._ends, strict=True):
            yield from range(first, last + 1)

    def __len__(self) -> int:
        return self._count

    def __repr__(self) -> str:
        return f"IntervalSet({self.intervals})"

    @classmethod
    def _from_iterable(cls, it: t.Iterable[T]) -> Set[T]:
        # Unions and the like of any sets are ordinary sets.
        return set(it)
