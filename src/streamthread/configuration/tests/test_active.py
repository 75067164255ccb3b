"""Generations: adopted in order, verified, never undone."""

import hypothesis
import hypothesis.strategies as st

from streamthread.configuration import ActiveConfiguration
from streamthread.configuration import Change
from streamthread.configuration import Generation
from streamthread.configuration import next_digest

LENGTH = 6


def _history() -> tuple[list[Generation], list[ActiveConfiguration]]:
    """Return accepted generations, and the configuration as of each."""
    steps: list[Generation] = []
    versions: list[ActiveConfiguration] = []
    digest = ActiveConfiguration().digest
    for number in range(1, LENGTH + 1):
        changes = (Change("team/t", {"cores_quota": number}),)
        digest = next_digest(digest, changes)
        steps.append(Generation(number, digest, changes))
        active = ActiveConfiguration()
        for step in steps:
            assert active.adopt(step)
        versions.append(active)
    return steps, versions


STEPS, VERSIONS = _history()

messages = st.lists(
    st.tuples(st.sampled_from(["step", "snapshot"]), st.integers(0, LENGTH - 1)),
    max_size=30,
)


class TestActiveConfiguration:
    @hypothesis.given(messages)
    def test_any_order_of_messages_never_goes_back(
        self, received: list[tuple[str, int]]
    ) -> None:
        active = ActiveConfiguration()
        for kind, index in received:
            before = active.generation
            if kind == "step":
                active.adopt(STEPS[index])
            else:
                active.adopt_snapshot(VERSIONS[index].snapshot())
            assert active.generation >= before
            if active.generation:
                assert active.items == VERSIONS[active.generation - 1].items
                assert active.digest == VERSIONS[active.generation - 1].digest

    def test_generation_with_a_wrong_digest_is_refused(self) -> None:
        forged = Generation(1, "0" * 64, STEPS[0].changes)
        assert not ActiveConfiguration().adopt(forged)

    def test_changed_items_are_named_since_a_generation(self) -> None:
        active = VERSIONS[3]
        assert active.changed_since(["team/t", "team/u"], 2) == ["team/t"]
        assert active.changed_since(["team/t"], 4) == []

    def test_steps_are_handed_out_only_without_a_gap(self) -> None:
        active = ActiveConfiguration()
        active.adopt_snapshot(VERSIONS[2].snapshot())
        active.adopt(STEPS[3])
        assert active.after(3) == [STEPS[3]]
        assert active.after(1) == []
