"""The decision about one pool: budgets, wave limits and hall limits."""

import attrs
import hypothesis
import hypothesis.strategies as st

from streamthread.fleet import Member
from streamthread.fleet import MemberState
from streamthread.fleet import PoolRow
from streamthread.maintenance import decide_pool
from streamthread.maintenance import GROWTH
from streamthread.maintenance import InstanceFacts
from streamthread.maintenance import PoolSnapshot
from streamthread.maintenance import StepKind
from streamthread.maintenance import wave_limit
from streamthread.maintenance import WaveFacts
from streamthread.maintenance import WaveProgress

WAVE = "wave/w"

members = st.builds(
    Member,
    state=st.sampled_from(MemberState),
    purpose=st.sampled_from(["", WAVE, "hold/h", "move/x", "move/"]),
    boot=st.just(1),
    done=st.sampled_from([(), (WAVE,)]),
)
facts = st.builds(
    InstanceFacts,
    live=st.booleans(),
    boot=st.integers(1, 2),
    hall=st.sampled_from(["hann", "plateau"]),
    rack=st.just("r"),
    idle=st.booleans(),
    wanted_by=st.sampled_from([(), (WAVE,), ("hold/h",), ("hold/h", WAVE)]),
    better_pool=st.sampled_from(["", "x"]),
    matches_pool=st.booleans(),
    overdue=st.booleans(),
)


@st.composite
def snapshots(draw: st.DrawFn) -> PoolSnapshot:
    count = draw(st.integers(0, 8))
    names = [f"i{number}" for number in range(count)]
    return PoolSnapshot(
        name="p",
        row=PoolRow({name: draw(members) for name in names}),
        min_available=draw(st.integers(0, 6)),
        target=None,
        facts={name: draw(facts) for name in names},
        waves={WAVE: WaveFacts(draw(st.booleans()), 0.1)},
        fresh=draw(st.booleans()),
    )


def _row_after_steps(snapshot: PoolSnapshot) -> PoolRow:
    row = snapshot.row
    for step in decide_pool(snapshot):
        row = row.with_member(step.instance_id, step.member)
    return row


def _available(snapshot: PoolSnapshot, row: PoolRow) -> int:
    return sum(
        member.state is MemberState.SERVING and snapshot.facts[name].live
        for name, member in row.members.items()
    )


def _pool(count: int, min_available: int, **changes: object) -> PoolSnapshot:
    names = [f"i{number}" for number in range(count)]
    snapshot = PoolSnapshot(
        name="p",
        row=PoolRow({name: Member(boot=1) for name in names}),
        min_available=min_available,
        target=None,
        facts={
            name: InstanceFacts(True, 1, "hann", "r", wanted_by=(WAVE,))
            for name in names
        },
        waves={WAVE: WaveFacts()},
    )
    return attrs.evolve(snapshot, **changes)  # type: ignore[arg-type]


class TestBudget:
    @hypothesis.given(snapshots())
    def test_grants_keep_the_minimum_available(self, snapshot: PoolSnapshot) -> None:
        granted = [
            step
            for step in decide_pool(snapshot)
            if step.kind == StepKind.DRAIN and snapshot.facts[step.instance_id].live
        ]
        if granted:
            assert (
                _available(snapshot, _row_after_steps(snapshot))
                >= snapshot.min_available
            )

    @hypothesis.given(snapshots())
    def test_nothing_is_granted_on_a_stale_membership_list(
        self, snapshot: PoolSnapshot
    ) -> None:
        stale = attrs.evolve(snapshot, fresh=False)
        kinds = {step.kind for step in decide_pool(stale)}
        assert StepKind.DRAIN not in kinds

    @hypothesis.given(snapshots())
    def test_only_idle_instances_are_rebooted_or_moved(
        self, snapshot: PoolSnapshot
    ) -> None:
        for step in decide_pool(snapshot):
            if step.kind in (StepKind.REBOOT, StepKind.MOVE, StepKind.LEAVE):
                assert snapshot.facts[step.instance_id].idle

    def test_lost_instance_is_granted_with_no_grants_left(self) -> None:
        snapshot = _pool(2, 2)
        lost = attrs.evolve(snapshot.facts["i1"], live=False)
        snapshot = attrs.evolve(snapshot, facts={**snapshot.facts, "i1": lost})
        steps = decide_pool(snapshot)
        assert [step.instance_id for step in steps] == ["i1"]


class TestWave:
    def test_starts_with_one_and_grows_with_each_completed(self) -> None:
        assert wave_limit(WaveProgress(0, 0, 0), 0.1) == 1
        assert wave_limit(WaveProgress(1, 0, 0), 0.1) == 1 + GROWTH
        assert wave_limit(WaveProgress(3, 0, 0), 0.1) == 1 + 3 * GROWTH

    def test_halts_when_the_canary_fails(self) -> None:
        assert wave_limit(WaveProgress(0, 1, 1), 0.1) == 0

    def test_continues_below_the_allowed_failed_fraction(self) -> None:
        assert wave_limit(WaveProgress(20, 1, 1), 0.1) > 0

    def test_never_empties_two_halls_at_once(self) -> None:
        """With two members in each of two halls, at most three may drain.

        The budget and the wave limit would allow all four.
        """
        halls = {"i0": "hann", "i1": "hann", "i2": "plateau", "i3": "plateau"}
        snapshot = _pool(4, 0)
        row = snapshot.row.with_member("i0", Member(MemberState.DRAINING, WAVE, 1))
        row = row.with_member("i1", Member(MemberState.DRAINING, WAVE, 1))
        done = Member(boot=1, done=(WAVE,))
        row = row.with_member("i4", done).with_member("i5", done)
        facts = {
            name: attrs.evolve(snapshot.facts["i0"], hall=hall)
            for name, hall in (halls | {"i4": "surrey", "i5": "surrey"}).items()
        }
        snapshot = attrs.evolve(snapshot, row=row, facts=facts)
        assert [step.instance_id for step in decide_pool(snapshot)] == ["i2"]

    def test_deleted_waves_are_removed_from_done(self) -> None:
        rebooting = Member(MemberState.REBOOTING, WAVE, 1, ("wave/old",))
        snapshot = _pool(1, 0)
        snapshot = attrs.evolve(snapshot, row=PoolRow({"i0": rebooting}))
        rebooted = attrs.evolve(snapshot.facts["i0"], boot=2)
        snapshot = attrs.evolve(snapshot, facts={"i0": rebooted})
        (step,) = decide_pool(snapshot)
        assert step.member is not None and step.member.done == (WAVE,)

    def test_paused_wave_grants_nothing_and_completes_reboots(self) -> None:
        rebooting = Member(MemberState.REBOOTING, WAVE, 1)
        snapshot = _pool(3, 0, waves={WAVE: WaveFacts(paused=True)})
        snapshot = attrs.evolve(snapshot, row=snapshot.row.with_member("i0", rebooting))
        rebooted = attrs.evolve(snapshot.facts["i0"], boot=2)
        snapshot = attrs.evolve(snapshot, facts={**snapshot.facts, "i0": rebooted})
        (step,) = decide_pool(snapshot)
        assert (step.kind, step.instance_id) == (StepKind.RETURN, "i0")
