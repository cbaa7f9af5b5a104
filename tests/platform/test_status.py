"""Tests of the status reports of a fleet, as operators read them."""

import anyio
import pytest

from emulator.sites import Site
from marigoldkeel.commands import status
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.reports import print_report


pytestmark = pytest.mark.anyio


async def test_status_shows_agents_owners_and_runs_while_a_job_runs(capsys):
    async with Site.open(entries=1, workers=2, metrics=True) as site:
        (entry,) = site.entries
        path, job = site.job_path(), site.job(count=2, work_ms=1500)
        async with anyio.create_task_group() as group:
            group.start_soon(site.request, entry, "POST", path, job, 5000)
            with anyio.fail_after(10.0):
                while not any(agent.supervisor.runs for agent in site.agents):
                    await anyio.sleep(0.02)
                await anyio.sleep(0.1)
                report, agent_report = entry.report(), None
                for agent in site.agents:
                    if agent.supervisor.runs:
                        agent_report = agent.report()
                for daemon in (entry, *site.agents):
                    address = daemon.settings.metrics
                    assert await anyio.to_thread.run_sync(status, address) == 0
            group.cancel_scope.cancel()
        assert [row["name"] for row in report["agents"]] == ["agent-0", "agent-1"]
        assert all(row["usable"] for row in report["agents"])
        assert sum(row["runs"] for row in report["agents"]) == 2
        assert report["forecasts"][0]["cores"] > 0
        (owner,) = agent_report["owners"]
        assert owner["incarnation"] == entry.own_member.incarnation
        assert owner["runs"] == len(agent_report["runs"]) > 0
        printed = capsys.readouterr().out
        assert "entry entry-0@" in printed and "2 of 2 agents" in printed
        assert "agent agent-1@" in printed and "running" in printed


@pytest.mark.parametrize("report", [None, [], {}, {"role": "primary"}])
async def test_report_of_an_unknown_role_is_refused(report):
    with pytest.raises(ProtocolError, match="no status report"):
        print_report(report)
