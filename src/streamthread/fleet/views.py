"""Every daemon's view of all pools, as their holders last told."""

import typing as t

import attrs

from ..peers import peers_pb2 as pb
from ..peers.rumors import RumorStore
from .pools import Member
from .pools import MemberState
from .pools import PoolRow

__all__ = ["PoolView", "PoolViews"]

KEY_PREFIX = "pool/"


@attrs.frozen
class PoolView:
    """A pool's members, as of one version of its row.

    :param done: the waves that members have been through.
    """

    pool: str
    version: int
    states: dict[str, MemberState]
    done: dict[str, tuple[str, ...]]

    def done_with(self, wave: str) -> list[str]:
        """Return the members that have been through a wave."""
        return [name for name, waves in self.done.items() if wave in waves]


class PoolViews:
    """The newest view of each pool, and which pool each instance is in."""

    def __init__(self, rumors: RumorStore) -> None:
        self._rumors = rumors
        self._views: dict[str, PoolView] = {}
        self._pool_of: dict[str, str] = {}
        self._draining: dict[str, list[str]] = {}
        self._listeners: list[t.Callable[[str], None]] = []
        rumors.listen(self._on_rumor)

    def listen(self, listener: t.Callable[[str], None]) -> None:
        """Have a function called with the name of each pool that changed."""
        self._listeners.append(listener)

    def names(self) -> t.KeysView[str]:
        """Return the names of all pools that were told of."""
        return self._views.keys()

    def publish(self, pool: str, row: PoolRow, version: int) -> None:
        """Tell everybody of a row that was read or committed."""
        members = [
            pb.PoolMember(
                instance_id=instance_id, state=member.state.value, done=member.done
            )
            for instance_id, member in row.members.items()
        ]
        view = pb.PoolView(pool=pool, members=members)
        self._rumors.offer(pb.Rumor(key=KEY_PREFIX + pool, version=version, pool=view))

    def view(self, pool: str) -> PoolView | None:
        """Return the newest view of a pool."""
        return self._views.get(pool)

    def all(self) -> list[PoolView]:
        """Return the newest views of all pools."""
        return list(self._views.values())

    def pool_of(self, instance_id: str) -> str:
        """Return the pool an instance is in, or ``""``."""
        return self._pool_of.get(instance_id, "")

    def draining(self) -> t.Iterator[tuple[PoolView, str]]:
        """Yield the instances that are being drained, with their views."""
        for pool, instance_ids in self._draining.items():
            for instance_id in instance_ids:
                yield self._views[pool], instance_id

    def _on_rumor(self, rumor: pb.Rumor) -> None:
        if rumor.WhichOneof("body") != "pool":
            return
        states = {
            member.instance_id: MemberState(member.state)
            for member in rumor.pool.members
        }
        done = {member.instance_id: tuple(member.done) for member in rumor.pool.members}
        view = PoolView(rumor.pool.pool, rumor.version, states, done)
        old = self._views.get(view.pool)
        for instance_id in old.states if old else ():
            if self._pool_of.get(instance_id) == view.pool:
                del self._pool_of[instance_id]
        for instance_id in states:
            self._pool_of[instance_id] = view.pool
        self._views[view.pool] = view
        self._note_draining(view)
        for listener in self._listeners:
            listener(view.pool)

    def _note_draining(self, view: PoolView) -> None:
        draining = [
            instance_id
            for instance_id, state in view.states.items()
            if state is MemberState.DRAINING
        ]
        if draining:
            self._draining[view.pool] = draining
        else:
            self._draining.pop(view.pool, None)


def view_as_row(view: PoolView) -> PoolRow:
    """Return a row with the states of a view, for counting."""
    return PoolRow(
        {instance_id: Member(state) for instance_id, state in view.states.items()}
    )
