"""Guards against metrics that are missing, wrong or stale."""

import re

import anyio
import httpcore
import pytest

from marigoldkeel.configuration import Configuration, TeamPolicy
from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import Refused
from marigoldkeel.metrics import snake_case


SAMPLE = re.compile(r"(\w+)(?:\{(.*)\})? (\S+)")
CALLS = 3
JOB_TASKS = 20


async def scrape(daemon):
    """Scrape a daemon and return its samples by name and labels."""
    url = f"http://{daemon.http_address}/metrics"
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", url)
    headers = dict(response.headers)
    assert headers[b"content-type"].startswith(b"text/plain; version=0.0.4")
    samples = {}
    for line in response.content.decode().splitlines():
        if line and not line.startswith("#"):
            name, labels, value = SAMPLE.fullmatch(line).groups()
            samples[name, labels or ""] = float(value)
    return samples


def sum_samples(scrapes, name, label=""):
    return sum(
        value
        for samples in scrapes
        for (sample, labels), value in samples.items()
        if sample == name and label in labels
    )


async def run_load():
    async with LocalSystem.open(agents=4, entries=1) as system:
        async with system.session("brusadelli") as session:
            for _ in range(CALLS):
                await session.call("quote", {"work_ms": 1})
            await session.submit("cut-list", [{"work_ms": 1}] * JOB_TASKS)
        entry = await scrape(system.entries[0])
        agents = [await scrape(agent) for agent in system.agents]
        registers = [agent.board.registers.values() for agent in system.agents]
        claims = sum(
            len(item.claims) for own_registers in registers for item in own_registers
        )
        return (
            entry,
            agents,
            [len(own_registers) for own_registers in registers],
            claims,
        )


def test_metrics_of_a_running_system():
    """Guards against metrics that are missing, have a wrong unit or a wrong value."""
    entry, agents, register_counts, claims = anyio.run(run_load)
    completed_labels = 'class="normal",outcome="complete"'
    assert entry["marigoldkeel_request_seconds_count", completed_labels] == CALLS + 1
    assert entry["marigoldkeel_request_seconds_sum", completed_labels] > 0
    assert entry["marigoldkeel_messages_sent_total", 'type="submit"'] > CALLS
    assert entry["marigoldkeel_requests_in_progress", ""] == 0
    assert entry["marigoldkeel_live_peers", 'role="agent"'] == 4
    assert entry["marigoldkeel_known_partitions", ""] == 16
    for samples in (entry, *agents):
        assert samples["marigoldkeel_configuration_revision", ""] == 1
        assert samples["marigoldkeel_bytes_sent_total", ""] > 0
        assert samples["process_resident_memory_bytes", ""] > 2**20
        assert samples["process_cpu_seconds_total", ""] > 0
        assert sum_samples([samples], "marigoldkeel_store_calls_total", "range") > 0
    succeeded = sum_samples(agents, "marigoldkeel_events_total", "tasks_succeeded")
    assert succeeded == CALLS + JOB_TASKS
    assert sum_samples(agents, "marigoldkeel_claims") == claims >= 2 * (CALLS + 1)
    assert sum_samples(agents, "marigoldkeel_partitions", 'role="primary"') == 16
    assert [
        sum_samples([samples], "marigoldkeel_partitions") for samples in agents
    ] == register_counts
    assert sum_samples(agents, "marigoldkeel_target_slots") == 4 * 8
    for name in ("running_tasks", "running_jobs", "queue_tasks"):
        assert sum_samples(agents, f"marigoldkeel_{name}") == 0
    classes = [labels for name, labels in agents[0] if "queue_tasks" in name]
    assert sorted(classes) == ['class="batch"', 'class="normal"', 'class="urgent"']


async def refuse_all():
    configuration = Configuration.example()
    configuration.teams["poor"] = TeamPolicy(tasks_per_s=0.0)
    async with LocalSystem.open(2, 1, configuration=configuration) as system:
        async with system.session("poor") as session:
            with pytest.raises(Refused):
                await session.call("quote", {"work_ms": 1}, deadline_s=0.2)
        return await scrape(system.entries[0])


def test_refusals_are_counted():
    """Guards against refused requests missing from the histogram or the events."""
    entry = anyio.run(refuse_all)
    refused = entry["marigoldkeel_events_total", 'event="refused_over_quota"']
    assert refused > 0
    count = 'class="normal",outcome="not_run"'
    assert entry["marigoldkeel_request_seconds_count", count] == refused


@pytest.mark.parametrize(
    ("name", "label"),
    [("Submit", "submit"), ("HeartbeatReply", "heartbeat_reply")],
)
def test_message_label(name, label):
    assert snake_case(name) == label
