"""The guards of evacuated halls."""

from tools.guard import Guard

__all__ = ["HALL_GUARDS"]

_STARTS = "src/streamthread/scheduler/tests/test_halls.py"

_CELL = "tests/cell/test_evacuations.py"

HALL_GUARDS = (
    Guard(
        "closed-halls-start-nothing",
        "scheduler/fleet.py",
        "            and self.halls.may_start(self.zone)\n",
        "",
        (f"{_STARTS}::TestPlacement",),
    ),
    Guard(
        "unknown-halls-start-nothing",
        "scheduler/engine.py",
        "        if not self.halls.are_known():\n            return placed\n",
        "",
        (f"{_STARTS}::TestPlacement",),
    ),
    Guard(
        "halls-are-asked-before-each-start",
        "scheduler/orders.py",
        "        if halls.are_known() and halls.may_start(link.runner.zone):\n"
        "            return True\n",
        "        return True\n",
        (f"{_STARTS}::TestPlannedStart", f"{_STARTS}::TestSentStart"),
    ),
    Guard(
        "old-view-of-halls-starts-nothing",
        "halls/registry.py",
        "        return self.evacuations.is_read and self.age_s <= self._max_age_s\n",
        "        return self.evacuations.is_read\n",
        (f"{_CELL}::TestFeed",),
    ),
    Guard(
        "starts-on-an-old-view-end-in-time",
        "halls/registry.py",
        "        return self._evacuate_s * START_BY_SHARE - self.age_s\n",
        "        return math.inf\n",
        (f"{_CELL}::TestFeed",),
    ),
    Guard(
        "machines-leave-closed-halls",
        "capacity/plan.py",
        "        moves += _moves_from_closed_halls(spares, machines)\n",
        "",
        (f"{_CELL}::TestMachines",),
    ),
)
