"""The guards of pools with more work than they can do in time."""

from tools.guard import Guard

__all__ = ["LOAD_GUARDS"]

LOAD_GUARDS = (
    Guard(
        "late-work-takes-no-machines-from-a-turn",
        "holder/sizes.py",
        "job.excess or (weighted and demand.late)",
        "job.excess",
        ("src/streamthread/holder/tests/test_backlog_sizes.py",),
    ),
    Guard(
        "machines-of-a-backlog-are-handed-over",
        "capacity/plan.py",
        "m.free_to_move and m.handing_over",
        "m.free_to_move and m.usable and m.handing_over",
        ("src/streamthread/capacity/tests/test_handover.py",),
    ),
)
