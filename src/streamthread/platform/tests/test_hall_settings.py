"""The settings, services and entries that concern halls."""

import json
import typing as t

from streamthread.gateway.daemon import cell_settings
from streamthread.gateway.daemon import operator_feed_wait_s
from streamthread.platform.documents import decode_runner_entry
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.node import decode_node
from streamthread.platform.node import NodeSettings


def _node(**bounds: t.Any) -> NodeSettings:
    return decode_node(
        json.dumps(
            {
                "node": "d",
                "ip": "127.0.0.1",
                "bindAddresses": {"front": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
                "portRange": [0, 0],
                "platform": {"address": "127.0.0.1:1"},
                "bounds": bounds,
            }
        )
    )


class TestBounds:
    def test_without_one_for_evacuations_change_nothing(self) -> None:
        node = _node()
        assert node.bounds.evacuate_s is None
        assert operator_feed_wait_s(node) == 1.0
        assert cell_settings(node).links.start_within_s == 2.5

    def test_for_evacuations_limit_the_feed_and_the_starts(self) -> None:
        node = _node(evacuateMs=5000, coldExcess=1.5, coldSlack=5)
        assert operator_feed_wait_s(node) == 0.5
        assert cell_settings(node).links.start_within_s == 2.5
        assert (node.bounds.cold_excess, node.bounds.cold_slack) == (1.5, 5.0)
        assert cell_settings(_node(evacuateMs=4000)).links.start_within_s == 2.0


class TestService:
    def test_says_how_cold_runners_start(self) -> None:
        services = [{"name": "a", "coldStartS": 8, "coldPerS": 2.5}, {"name": "b"}]
        value = json.dumps({"version": 1, "services": services}).encode()
        pools = decode_manifest(value, None).manifest.pools
        assert (pools["a"].cold_start_s, pools["a"].cold_per_s) == (8.0, 2.5)
        assert (pools["b"].cold_start_s, pools["b"].cold_per_s) == (0.0, 0.0)


class TestEntry:
    def test_says_for_how_long_its_runner_is_cold(self) -> None:
        row = {
            "service": "a",
            "address": "127.0.0.1:1",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 1, "memMb": 1},
            "labels": ["a"],
        }
        cold = json.dumps(row | {"coldLeftMs": 1500}).encode()
        assert decode_runner_entry("i-1", cold).cold_left_ms == 1500.0
        assert decode_runner_entry("i-1", json.dumps(row).encode()).cold_left_ms == 0.0
