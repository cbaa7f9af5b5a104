"""Tests of what a daemon hands over at a planned stop, without processes."""

from types import SimpleNamespace

import anyio
import anyio.lowlevel
import pytest

from marigoldkeel.fleet.daemons import FleetAgent
from marigoldkeel.fleet.drivers import WorkerClient
from marigoldkeel.fleet.messages import Attach, RunEvent
from marigoldkeel.fleet.runs import RunEndRecord, RunStatus, StartOutcome, WorkerPoll
from marigoldkeel.fleet.settings import FleetSettings
from marigoldkeel.fleet.work import RunEnd
from marigoldkeel.settings import StoreSettings
from tests.fleet.test_supervisors import FACTS, OWNER, run_id, start_message


pytestmark = pytest.mark.anyio


class FakeConnection:
    """A connection that keeps what is sent on it."""

    def __init__(self, peer: str = "10.0.0.1:7000"):
        self.peer = peer
        self.sent = []

    def send(self, content) -> None:
        self.sent.append(content)


class RunningWorker(WorkerClient):
    """A worker that forgets ends as polls acknowledge them; its run ends on demand."""

    def __init__(self):
        self.running = []
        self.ended = []
        self.changed = anyio.Event()

    async def start(self, run, lease_ends_at, timeout_s):
        self.running.append(run.run_id)
        return StartOutcome.STARTED, ""

    async def stop(self, run):
        return True

    async def poll(self, lease_ends_at, wait_s, last_end):
        self.ended = [row for row in self.ended if row.number > last_end]
        if wait_s and not self.ended:
            await self.changed.wait()
        return WorkerPoll(7, [RunStatus(item, 0) for item in self.running], self.ended)

    def end_run(self) -> None:
        self.ended = [RunEndRecord(1, self.running.pop(), RunEnd.DONE)]
        self.changed.set()
        self.changed = anyio.Event()


async def test_stopping_agent_notifies_owners_of_the_ends_that_its_worker_forgets():
    # Guards against "not run" for a job whose task is done: the agent read the end and
    # told the worker to forget it, and its process ended within the time for which
    # notifications are collected.
    store = StoreSettings("127.0.0.1:1")
    settings = FleetSettings(
        name="agent-1", domain="a", listen="127.0.0.1:0", store=store
    )
    worker = RunningWorker()
    agent = FleetAgent(settings, None, worker)
    agent.peers = SimpleNamespace()
    connection = FakeConnection()
    async with anyio.create_task_group() as group:
        agent.build_components(group)
        group.start_soon(agent.driver.poll_forever)
        await anyio.wait_all_tasks_blocked()
        agent.supervisor.update_facts(FACTS, 1)
        agent.links.message_received(connection, Attach(1, OWNER))
        agent.supervisor.start(OWNER.incarnation, start_message(0))
        agent.flush()
        await anyio.wait_all_tasks_blocked()
        worker.end_run()
        while agent.supervisor.runs:
            await anyio.lowlevel.checkpoint()
        await agent.drain()
        group.cancel_scope.cancel()
    ends = [item.run for item in connection.sent if isinstance(item, RunEvent)]
    assert ends == [run_id(0)] or worker.ended
