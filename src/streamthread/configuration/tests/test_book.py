"""Generations: adopted in order, verified, never undone."""

import hypothesis
import hypothesis.strategies as st

from streamthread.configuration import Book
from streamthread.configuration import Change
from streamthread.configuration import Generation
from streamthread.configuration import next_digest

LENGTH = 6


def _history() -> tuple[list[Generation], list[Book]]:
    """Return accepted generations, and a book as of each."""
    steps: list[Generation] = []
    books: list[Book] = []
    digest = Book().digest
    for number in range(1, LENGTH + 1):
        changes = (Change("team/t", {"cores_quota": number}),)
        digest = next_digest(digest, changes)
        steps.append(Generation(number, digest, changes))
        book = Book()
        for step in steps:
            assert book.adopt(step)
        books.append(book)
    return steps, books


STEPS, BOOKS = _history()

messages = st.lists(
    st.tuples(st.sampled_from(["step", "snapshot"]), st.integers(0, LENGTH - 1)),
    max_size=30,
)


class TestBook:
    @hypothesis.given(messages)
    def test_any_order_of_messages_never_goes_back(
        self, received: list[tuple[str, int]]
    ) -> None:
        book = Book()
        for kind, index in received:
            before = book.generation
            if kind == "step":
                book.adopt(STEPS[index])
            else:
                book.adopt_snapshot(BOOKS[index].snapshot())
            assert book.generation >= before
            if book.generation:
                assert book.items == BOOKS[book.generation - 1].items
                assert book.digest == BOOKS[book.generation - 1].digest

    def test_generation_with_a_wrong_digest_is_refused(self) -> None:
        forged = Generation(1, "0" * 64, STEPS[0].changes)
        assert not Book().adopt(forged)

    def test_changed_items_are_named_since_a_generation(self) -> None:
        book = BOOKS[3]
        assert book.changed_since(["team/t", "team/u"], 2) == ["team/t"]
        assert book.changed_since(["team/t"], 4) == []

    def test_steps_are_handed_out_only_without_a_gap(self) -> None:
        book = Book()
        book.adopt_snapshot(BOOKS[2].snapshot())
        book.adopt(STEPS[3])
        assert book.after(3) == [STEPS[3]]
        assert book.after(1) == []
