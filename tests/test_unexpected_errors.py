"""Guards against an unexpected error that ends a process, in jobs that start once.

An error is raised once in each handler, loop and task of the daemons, which then serve
as before. The same for repeatable jobs: tests/platform/test_unexpected_errors.py.
"""

import inspect

import anyio
import pytest

from marigoldkeel.demo import LocalSystem
from marigoldkeel.exceptions import MarigoldkeelError
from marigoldkeel.messages import Done


pytestmark = pytest.mark.anyio

# A component of an entry or agent, its method, and the policy under which it is called.
FAILING = [
    ("entries", "membership", "_send", "late_binding"),
    ("entries", "membership", "receive", "late_binding"),
    ("entries", "admissions", "admit", "late_binding"),
    ("entries", "peers", "request", "late_binding"),
    ("agents", "membership", "_send", "late_binding"),
    ("agents", "membership", "contacts", "late_binding"),
    ("agents", "failover", "_needs_change", "late_binding"),
    ("agents", "failover", "receive_claim", "late_binding"),
    ("agents", "primaries", "reap", "late_binding"),
    ("agents", "primaries", "_obtain_claim", "late_binding"),
    ("agents", "primaries", "_place", "late_binding"),
    ("agents", "primaries", "_probe", "late_binding"),
    ("agents", "primaries", "_push", "least_loaded"),
    ("agents", "primaries", "_record", "late_binding"),
    ("agents", "primaries", "take", "late_binding"),
    ("agents", "executor", "step", "late_binding"),
    ("agents", "executor", "probe", "late_binding"),
    ("agents", "executor", "_take", "late_binding"),
    ("agents", "executor", "_run_task", "late_binding"),
    ("agents", "executor", "_deliver", "late_binding"),
    ("agents", "adapter", "run", "late_binding"),
    ("agents", "peers", "request", "late_binding"),
    ("agents", "peers", "send", "late_binding"),
    ("agents", "executor", "_run_task", "least_loaded"),
    ("agents", "peers", "request", "least_loaded"),
]


class InjectedError(Exception):
    """An error that no code expects."""


def fail_once(monkeypatch, component, name: str) -> list[str]:
    """Let the next call of a method fail; return a list that then has an item."""
    method = getattr(component, name)
    failures: list[str] = []

    def call(*arguments, **options):
        if not failures:
            failures.append(name)
            raise InjectedError(name)
        return method(*arguments, **options)

    async def call_async(*arguments, **options):
        return await call(*arguments, **options)

    is_async = inspect.iscoroutinefunction(method)
    monkeypatch.setattr(component, name, call_async if is_async else call)
    return failures


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


@pytest.mark.parametrize(("role", "component", "method", "policy"), FAILING)
async def test_unexpected_error_does_not_end_a_daemon(
    monkeypatch, role, component, method, policy
):
    async with LocalSystem.open(agents=3, partitions=4, policy=policy) as system:
        daemons = getattr(system, role)
        failed = [
            fail_once(monkeypatch, getattr(daemon, component), method)
            for daemon in daemons
        ]
        with anyio.fail_after(30.0):
            while not any(failed):
                await submit(system)
                await anyio.sleep(0.05)
        for _ in range(4):
            await submit_until_complete(system)
        assert not any(daemon.stopping.is_set() for daemon in daemons)


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
