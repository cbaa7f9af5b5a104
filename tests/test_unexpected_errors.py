"""Guards against an unexpected error that ends a process, in jobs that start once.

An error is raised once in each handler, loop and task of the daemons, which then serve
as before. The same for repeatable jobs: tests/platform/test_unexpected_errors.py.
"""

import anyio
import pytest

from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.messages import Done
from tests.errors import fail_once


pytestmark = pytest.mark.anyio

# For each policy, the methods of components of entries and agents that fail in turn.
FAILING = {
    "late_binding": [
        ("entries", "membership", ["_send", "receive"]),
        ("entries", "admissions", ["admit"]),
        ("entries", "peers", ["request"]),
        ("agents", "membership", ["_send", "contacts"]),
        ("agents", "failover", ["_needs_change", "receive_claim"]),
        ("agents", "primaries", ["reap", "_obtain_claim", "_place", "_probe"]),
        ("agents", "primaries", ["_record", "take"]),
        ("agents", "executor", ["step", "probe", "_take", "_run_task", "_deliver"]),
        ("agents", "adapter", ["run"]),
        ("agents", "peers", ["request", "send"]),
    ],
    "least_loaded": [
        ("agents", "primaries", ["_push"]),
        ("agents", "executor", ["_run_task"]),
        ("agents", "peers", ["request"]),
    ],
}


async def submit(system: LocalSystem, tasks: int = 3) -> bool:
    """Submit a job; return whether it completed."""
    async with system.session("brusadelli") as session:
        try:
            await session.submit("cut-list", [{"work_ms": 5}] * tasks, deadline_s=2.0)
        except MarigoldkeelError:
            return False
    return True


async def submit_until_complete(system: LocalSystem) -> None:
    """Submit jobs until one completes; fails the test if none is in time."""
    with anyio.fail_after(20.0):
        while not await submit(system):
            pass


@pytest.mark.parametrize("policy", FAILING)
async def test_unexpected_errors_do_not_end_a_daemon(monkeypatch, policy):
    async with LocalSystem.open(agents=3, partitions=4, policy=policy) as system:
        for role, component, methods in FAILING[policy]:
            for method in methods:
                failed = [
                    fail_once(monkeypatch, getattr(daemon, component), method)
                    for daemon in getattr(system, role)
                ]
                with anyio.fail_after(30.0):
                    while not any(failed):
                        await submit(system)
                        await anyio.sleep(0.05)
                monkeypatch.undo()
                await submit_until_complete(system)
                stopped = [
                    daemon.board.member.name
                    for daemon in (*system.entries, *system.agents)
                    if daemon.stopping.is_set()
                ]
                assert stopped == [], (component, method)


@pytest.mark.parametrize("policy", ["late_binding", "least_loaded"])
async def test_reply_of_another_type_does_not_end_a_daemon(monkeypatch, policy):
    async with LocalSystem.open(agents=3, partitions=4, policy=policy) as system:
        for agent in system.agents:
            request, replies = agent.peers.request, iter([Done()] * 5)

            async def reply_wrongly(*arguments, request=request, replies=replies):
                return next(replies, None) or await request(*arguments)

            monkeypatch.setattr(agent.peers, "request", reply_wrongly)
        for _ in range(4):
            await submit_until_complete(system)
