"""The composed daemon: it starts, serves probes, and does not live on half dead."""

import aiohttp

from streamthread.cli.run import until_signal
from streamthread.entry import Entry
from streamthread.peers import PeerSettings
from streamthread.providers import memory_platform
from streamthread.settings import EntrySettings
from streamthread.settings import PlatformSettings

CONFIGURATION = {
    "pool": {"billing": {"selector": "service = billing", "min_available": 0}},
    "service": {"billing": {"pool": "billing"}},
}


def _entry() -> Entry:
    settings = EntrySettings(
        daemon_id="e",
        hall="hann",
        platform=PlatformSettings(kind="memory"),
        peers=PeerSettings(key="k"),
        configuration=CONFIGURATION,
        linger_s=0.0,
    )
    return Entry(settings, memory_platform())


class TestEntry:
    async def test_is_live_at_once_and_ready_with_a_configuration(self) -> None:
        entry = _entry()
        await entry.start()
        url = f"http://{entry.operators.address}"
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{url}/healthz") as response:
                assert response.status == 200
            while True:
                async with session.get(f"{url}/readyz") as response:
                    if response.status == 200:
                        break
            async with session.get(f"{url}/metrics") as response:
                assert "streamthread_lease_trusted 1.0" in await response.text()
        assert await entry.planned_stop() == 0

    async def test_part_that_fails_ends_the_daemon(self) -> None:
        entry = _entry()

        async def fail() -> None:
            raise ZeroDivisionError

        entry.fleet.tick = fail  # type: ignore[method-assign]
        await entry.start()
        assert await until_signal(entry)
        await entry.stop()
