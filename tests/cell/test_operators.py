"""The operators' port of a cell, and the check of its settings."""

import aiohttp
import pytest

from streamthread.cli import main
from streamthread.errors import leaf_errors
from streamthread.platform.node import BadNodeSettings
from streamthread.platform.node import decode_node

from .support import job
from .support import running_cell
from .support import until


class TestOperatorsPort:
    async def test_every_daemon_explains_the_tasks_of_a_job(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            await cell.until_ready()
            await cell.caller().submit("a" * 16, job(run_s=20, count=2, cpu=10000))
            await until(lambda: len(cell.world.started) == 1, "one task starts")
            async with aiohttp.ClientSession() as session:
                for daemon in cell.daemons:
                    base = f"http://{daemon.operators.address}"
                    async with session.get(
                        f"{base}/explain/job/{'a' * 16}"
                    ) as response:
                        value = await response.json()
                    reasons = [task["why"] for task in value["tasks"]]
                    assert any("confirmed" in reason for reason in reasons)
                    assert any(
                        "waits for free capacity" in reason for reason in reasons
                    )
                    async with session.get(f"{base}/explain/job/unknown") as response:
                        assert response.status == 404

    async def test_metrics_count_answers_and_calls(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            await cell.caller().submit("b" * 16, job())
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{daemon.operators.address}/metrics") as response,
            ):
                text = await response.text()
            assert 'streamthread_answers_total{answer="POST 200"} 1.0' in text
            assert "streamthread_answer_seconds_bucket" in text
            assert "streamthread_holding 1.0" in text
            assert "streamthread_runner_list_age_seconds" in text
            assert "streamthread_machine_list_age_seconds" in text
            assert "streamthread_pass_interval_seconds_bucket" in text


class TestSettings:
    def test_all_errors_are_reported_at_once(self) -> None:
        with pytest.raises(BadNodeSettings) as raised:
            decode_node('{"node": 7, "portRange": [1], "bounds": {"graceS": "x"}}')
        locations = {error.location for error in leaf_errors(raised.value)}
        assert locations == {
            "$.node",
            "$.ip",
            "$.bindAddresses.front",
            "$.bindAddresses.readiness",
            "$.portRange",
            "$.platform.address",
            "$.bounds.graceS",
        }

    def test_the_command_checks_a_settings_file(
        self, tmp_path: pytest.TempPathFactory, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "settings.json"  # type: ignore[operator]
        path.write_text("{}")
        assert main(["cell", "--settings", str(path), "--check"]) == 2
        assert "$.platform.address" in capsys.readouterr().err
