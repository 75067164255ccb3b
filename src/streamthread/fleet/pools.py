"""A pool's row: its members, and what was granted away of them."""

import enum
import typing as t

import attrs
import cattrs

from ..providers import JsonObject

__all__ = ["Member", "MemberState", "PoolRow", "instance_key", "pool_key"]


class MemberState(enum.Enum):
    """Where a member of a pool stands.

    All but SERVING are granted away: they count against the budget.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    HELD = "held"


@attrs.frozen
class Member:
    """One instance in a pool.

    :param purpose: the key of the wave or hold it leaves for, or ``move/POOL``.
    :param boot: the boot that it was granted away in.
    :param done: the waves that it has been through.
    """

    state: MemberState = MemberState.SERVING
    purpose: str = ""
    boot: int = 0
    done: tuple[str, ...] = ()


@attrs.frozen
class PoolRow:
    """The members of a pool by instance id.

    :param generation: of the configuration that it was decided under last; a
        daemon with an older one leaves the row alone.
    """

    members: dict[str, Member] = attrs.field(factory=dict)
    generation: int = 0

    def granted(self) -> list[str]:
        """Return the members that are granted away."""
        return [
            instance_id
            for instance_id, member in self.members.items()
            if member.state is not MemberState.SERVING
        ]

    def with_member(self, instance_id: str, member: Member | None) -> "PoolRow":
        """Return the row with a member replaced, or removed with None."""
        members = dict(self.members)
        if member is None:
            members.pop(instance_id, None)
        else:
            members[instance_id] = member
        return attrs.evolve(self, members=members)

    def to_json(self) -> JsonObject:
        """Return the row's value."""
        return t.cast(JsonObject, cattrs.unstructure(self))

    @classmethod
    def from_json(cls, value: JsonObject) -> "PoolRow":
        """Return the row of a value."""
        return cattrs.structure(value, cls)


def pool_key(name: str) -> str:
    """Return the key of a pool's row; its shard is that of this key."""
    return f"pool/{name}"


def instance_key(instance_id: str) -> str:
    """Return the key of an instance's row, which names its one pool."""
    return f"instance/{instance_id}"
