"""Runners of a lost hall receive nothing until they have answered."""

import typing as t

from streamthread.clocks import boot_s
from streamthread.halls import HallOutages
from streamthread.holder.outage_watch import OutageWatch
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import RunnerState


def _links(halls: t.Sequence[str]) -> dict[str, RunnerLink]:
    unused = t.cast(t.Any, None)
    links: dict[str, RunnerLink] = {}
    for number, hall in enumerate(halls):
        runner = RunnerState(f"i-{number}", "desk", "x:1", hall, ("a", "r"), 9, 9, 0)
        runner.ready = True
        link = RunnerLink(runner, unused, unused, LinkSettings(), boot_s())
        link.heard_at_s = boot_s()
        links[runner.runner_id] = link
    return links


def _silence(link: RunnerLink) -> None:
    link.runner.silent_at_s = boot_s()
    link.runner.ready = False


class TestRunnersOfALostHall:
    # Guards against work for a runner whose silence shows only after 2.2 s.
    def test_wait_for_their_next_answer(self) -> None:
        links = _links("aaaaabbbbb")
        watch = OutageWatch(links, HallOutages())
        for number in range(3):
            _silence(links[f"i-{number}"])
        links["i-4"].heard_at_s = boot_s()
        watch.check()
        assert not links["i-3"].runner.ready
        assert links["i-4"].runner.ready
        assert all(links[f"i-{number}"].runner.ready for number in range(5, 10))

    def test_are_used_again_once_they_have_answered(self) -> None:
        links = _links("aaaabbbb")
        watch = OutageWatch(links, HallOutages())
        for number in range(3):
            _silence(links[f"i-{number}"])
        watch.check()
        links["i-3"].runner.ready = True
        watch.check()
        assert links["i-3"].runner.ready

    def test_are_used_while_few_are_silent(self) -> None:
        links = _links("aaaabbbb")
        _silence(links["i-0"])
        OutageWatch(links, HallOutages()).check()
        assert all(links[f"i-{number}"].runner.ready for number in range(1, 8))

    # Guards against an outage of runners that have nothing in common.
    def test_are_not_those_that_name_no_hall(self) -> None:
        links = _links(["", "", "", "", "b", "b"])
        outages = HallOutages()
        for number in range(3):
            _silence(links[f"i-{number}"])
        OutageWatch(links, outages).check()
        assert not outages.lost_since_s
        assert links["i-3"].runner.ready
