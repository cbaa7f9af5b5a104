"""Tests of the status reports of a fleet, as operators read them."""

import anyio
import pytest

from emulator.sites import Site
from marigoldkeel.commands import status
from marigoldkeel.exceptions import ProtocolError
from marigoldkeel.fleet.runs import Phase
from marigoldkeel.reports import print_report


pytestmark = pytest.mark.anyio


def run_phases(site: Site) -> list[Phase]:
    """Return the phases of all runs, once no answer of a worker is to be lost."""
    if any(runner.responses_to_drop for runner in site.runners):
        return []
    return [
        run.phase for agent in site.agents for run in agent.supervisor.runs.values()
    ]


# A run whose start order has no answer in time is stopped and repeated, as on a machine
# whose processes are late; the status shows it as stopping until then.
@pytest.mark.parametrize("lost_answers", [0, 3])
async def test_status_shows_agents_owners_and_runs_while_a_job_runs(
    capsys, lost_answers
):
    async with Site.open(entries=1, workers=2, metrics=True) as site:
        (entry,) = site.entries
        path, job = site.job_path(), site.job(count=2, work_ms=1500)
        for runner in site.runners:
            runner.responses_to_drop = lost_answers
        async with anyio.create_task_group() as group:
            group.start_soon(site.request, entry, "POST", path, job, 5000)
            with anyio.fail_after(10.0):
                while run_phases(site) != [Phase.RUNNING, Phase.RUNNING] or not all(
                    row["usable"] for row in entry.report()["agents"]
                ):
                    await anyio.sleep(0.02)
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
