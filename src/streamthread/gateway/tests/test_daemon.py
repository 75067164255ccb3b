"""The daemon's settings within the platform's bounds."""

import attrs

from streamthread.gateway.daemon import cell_settings
from streamthread.platform.node import Bounds
from streamthread.platform.node import NodeSettings
from streamthread.platform.node import StoreLimits

NODE = NodeSettings("d", "h", "127.0.0.1", "a:1", "a:2", (1, 2), StoreLimits("a:3"))


class TestSettings:
    def test_follow_the_platforms_bounds(self) -> None:
        bounds = Bounds(most_hold_s=2.0, early_s=0.1, grace_s=6.0)
        settings = cell_settings(attrs.evolve(NODE, bounds=bounds))
        assert settings.links.hold_s <= 2.0
        assert settings.engine.early_s < 0.1

    # Guards against figures that are read and not used.
    def test_include_the_times_of_duties(self) -> None:
        bounds = Bounds(move_s=7.0, upkeep_s=40.0)
        duties = cell_settings(attrs.evolve(NODE, bounds=bounds)).duties
        assert duties.capacity.move_s == 7.0
        assert duties.upkeep.upkeep_s == 40.0

    def test_runs_of_a_lost_runner_are_held_little_longer_than_an_outage(self) -> None:
        bounds = Bounds(most_hold_s=10.0)
        settings = cell_settings(attrs.evolve(NODE, bounds=bounds))
        assert settings.links.most_hold_s == 6.0
        assert settings.links.expiry_bound_s < 6.25
