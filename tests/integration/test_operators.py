"""What operators ask of real entries: lists, reasons, the time line, errors."""

import pathlib

import pytest
from tools.cluster import Cluster
from tools.processes import eventually

from streamthread.cli.client import ApiErrors
from streamthread.cli.drawing import draw_events
from streamthread.errors import leaf_errors
from streamthread.errors import NotFoundError
from tests.integration.support import RUNNERS
from tests.integration.support import served_cluster
from tests.integration.support import SERVICE
from tests.integration.support import start_wave
from tests.integration.support import wave_done

JOB = {
    "job_id": "huge",
    "pool": "batch",
    "team": "audits",
    "cores": 99,
    "memory_bytes": 1,
    "run_s": 1.0,
    "repeat_safe": True,
}


LARGE_WORKER = {
    "instance_id": "worker-large",
    "hall": "plateau",
    "rack": "plateau-w9",
    "cores": JOB["cores"],
    "memory_bytes": 1,
    "labels": {"role": "worker"},
}


async def _has_reason(cluster: Cluster, entry: int) -> bool:
    operators = cluster.entries[entry].operators
    return bool((await operators.get("/explain/job/batch/huge"))["reason"])


async def _is_done(cluster: Cluster, entry: int) -> bool:
    operators = cluster.entries[entry].operators
    return bool((await operators.get("/explain/job/batch/huge"))["state"] == "done")


class TestExplain:
    async def test_says_why_and_what_is_waited_for(self) -> None:
        async with served_cluster(entries=2, workers=2) as cluster:
            operators = cluster.entries[1].operators
            batch = {"selector": "role = worker", "min_available": 0}
            await cluster.apply({"pool/batch": batch})

            async def submitted() -> bool:
                body = {"pool": "batch", "submit": [JOB]}
                await operators.post("/jobs", body)
                return True

            await eventually(submitted)
            await eventually(lambda: _has_reason(cluster, 1))
            job = await operators.get("/explain/job/batch/huge")
            assert "large enough" in job["reason"]
            assert job["state"] == "queued"
            assert "worker" in job["waits_for"]
            await start_wave(cluster, entry=1)
            await eventually(lambda: wave_done(cluster, 1), 40)
            wave = await operators.get("/explain/wave/w")
            assert (wave["done"], wave["left_by_pool"]) == (RUNNERS, {})
            instance = await operators.get(f"/explain/instance/{SERVICE}-0")
            assert (instance["pool"], instance["matches"]) == (SERVICE, [SERVICE])
            pool = await operators.get(f"/explain/pool/{SERVICE}")
            assert pool["available"] == RUNNERS
            await cluster.register([LARGE_WORKER])
            await eventually(lambda: _is_done(cluster, 1))

    async def test_unknown_names_are_not_found(self) -> None:
        async with served_cluster(entries=1, runners=1) as cluster:
            for path in ("pool/x", "instance/x", "wave/x", "job/x/y", "moon/x"):
                with pytest.raises(ApiErrors) as caught:
                    await cluster.entries[0].operators.get(f"/explain/{path}")
                (error,) = leaf_errors(caught.value)
                assert isinstance(error, NotFoundError), path


class TestTimeline:
    async def test_outlives_every_entry_and_can_be_drawn(
        self, tmp_path: pathlib.Path
    ) -> None:
        archive = {"archive": {"batch_s": 0.2}}
        async with served_cluster(entries=2, settings=archive) as cluster:
            for entry in cluster.entries:
                assert await entry.terminate() == 0
            cluster.entries = [await cluster.start_entry(5)]

            async def told() -> list[str]:
                events = await cluster.timeline(archived="1", kind="joined")
                return [event["daemon_id"] for event in events]

            assert set(await eventually(told)) <= {"entry-0", "entry-1"}
            events = await cluster.timeline(archived="1")
            drawing = draw_events(events)
            assert drawing.count("<circle") == len(events)
            for entry in ("entry-0", "entry-1", "entry-5"):
                assert entry in drawing


class TestBadInput:
    async def test_is_refused_with_every_mistake(self) -> None:
        async with served_cluster(entries=1, runners=1) as cluster:
            body = {
                "base_generation": 1,
                "changes": [
                    {"key": "pool/a", "value": {"selector": "=", "min_available": 1}},
                    {"key": "team/b", "value": {"cores": 1}},
                ],
            }
            with pytest.raises(ApiErrors) as caught:
                await cluster.entries[0].operators.post("/configuration", body)
            places = {error.location for error in leaf_errors(caught.value)}
            assert places == {"$.pool.a.selector", "$.team.b.cores"}
