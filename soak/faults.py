"""What can be done to an installation from outside; each fault also ends itself."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from emulator.proxies import Proxy
from soak.installations import GRACE_S, Installation
from soak.programs import Program


RESTART_S = (0.05, 2.0)
PAUSE_S = (0.2, 4.0)
CUT_S = (0.2, 5.0)
DELAYS_S = (0.005, 0.05, 0.4)
STORE_FAULT_S = (0.5, 5.0)
LEAVING_S = (2.5, 5.0)
# How long the worker's own reports may need to be acknowledged.
REPORTED_S = 1.5
# What the interpreter takes to start on a busy machine.
INTERPRETER_S = 0.3

Fault = Callable[[Installation, random.Random], Awaitable[None]]
faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    faults[function.__name__] = function
    return function


async def _with_idle(
    installation: Installation,
    rng: random.Random,
    action: Callable[[Program], Awaitable[None]],
    programs: list[Program] | None = None,
) -> None:
    """Do something to a process to which nothing else is being done."""
    idle = [item for item in programs or installation.programs if not item.busy]
    if not idle:
        return
    program = rng.choice(idle)
    program.busy = True
    try:
        await action(program)
    finally:
        program.busy = False


@fault
async def kill_process(installation: Installation, rng: random.Random) -> None:
    async def kill(program: Program) -> None:
        with program.disturbed("killed"):
            program.kill()
            await anyio.sleep(rng.uniform(*RESTART_S))
            program.launch()

    await _with_idle(installation, rng, kill)


@fault
async def kill_many(installation: Installation, rng: random.Random) -> None:
    async with anyio.create_task_group() as group:
        for _ in range(rng.randint(2, len(installation.programs))):
            group.start_soon(kill_process, installation, rng)


@fault
async def pause_process(installation: Installation, rng: random.Random) -> None:
    async def pause(program: Program) -> None:
        with program.disturbed("paused"):
            program.signal(signal.SIGSTOP)
            await anyio.sleep(rng.uniform(*PAUSE_S))
            program.signal(signal.SIGCONT)

    await _with_idle(installation, rng, pause)


@fault
async def stop_as_planned(installation: Installation, rng: random.Random) -> None:
    async def stop(program: Program) -> None:
        with program.disturbed("stopped"):
            await program.stop(GRACE_S)
            await anyio.sleep(rng.uniform(*RESTART_S))
            program.launch()

    await _with_idle(installation, rng, stop)


@fault
async def reload_settings(installation: Installation, rng: random.Random) -> None:
    async def reload(program: Program) -> None:
        program.signal(signal.SIGHUP)

    # The interpreter itself handles no signals while it starts.
    started = [item for item in installation.programs if item.age_s > INTERPRETER_S]
    if started:
        await _with_idle(installation, rng, reload, started)


def _some_link(installation: Installation, rng: random.Random) -> Proxy:
    return rng.choice(installation.proxies)


async def _restore_later(rng: random.Random, *proxies: Proxy) -> None:
    await anyio.sleep(rng.uniform(*CUT_S))
    for proxy in proxies:
        proxy.restore()


@fault
async def reset_link(installation: Installation, rng: random.Random) -> None:
    _some_link(installation, rng).reset()


@fault
async def reset_all_links(installation: Installation, rng: random.Random) -> None:
    for proxy in installation.proxies:
        proxy.reset()


@fault
async def silence_link(installation: Installation, rng: random.Random) -> None:
    proxy = _some_link(installation, rng)
    proxy.silence()
    await _restore_later(rng, proxy)


@fault
async def cut_link_one_way(installation: Installation, rng: random.Random) -> None:
    proxy = _some_link(installation, rng)
    proxy.block(rng.choice(("towards", "back")))
    await _restore_later(rng, proxy)


@fault
async def delay_link(installation: Installation, rng: random.Random) -> None:
    proxy = _some_link(installation, rng)
    proxy.delay(rng.choice(DELAYS_S))
    await _restore_later(rng, proxy)


@fault
async def cut_off_process(installation: Installation, rng: random.Random) -> None:
    links = list(rng.choice(installation.programs).links.values())
    for proxy in links:
        proxy.silence()
    await _restore_later(rng, *links)


@fault
async def disturb_store(installation: Installation, rng: random.Random) -> None:
    store = installation.store
    kind = rng.choice(("down", "silent", "slow", "lossy", "forgetful", "revoking"))
    if kind == "down":
        store.error_status = 503
    elif kind == "silent":
        store.silent = True
    elif kind == "slow":
        store.delay_s = 0.3
    elif kind == "lossy":
        store.write_responses_to_drop = 5
    elif kind == "forgetful":
        store.compact()
    else:
        store.revoke("marigoldkeel/")
    await anyio.sleep(rng.uniform(*STORE_FAULT_S))
    store.restore()


@fault
async def disturb_worker(installation: Installation, rng: random.Random) -> None:
    runner = rng.choice(installation.runners)
    worker = runner.worker
    worker.advance(runner.now)
    kind = rng.choice(("crash", "mute", "lossy", "failing", "hanging"))
    if kind == "crash":
        worker.crash()
        return
    if kind == "mute":
        runner.unresponsive = True
    elif kind == "lossy":
        runner.responses_to_drop = 5
    elif kind == "failing":
        worker.failing = True
    else:
        worker.hanging = True
    await anyio.sleep(rng.uniform(*CUT_S))
    runner.restore()


@fault
async def empty_worker(installation: Installation, rng: random.Random) -> None:
    runner = rng.choice(installation.runners)
    if runner.worker.leaving:
        return
    known = len(runner.reports)
    runner.worker.leaving = True
    with anyio.move_on_after(REPORTED_S) as limit:
        while 200 not in runner.reports[known + 1 :]:
            await anyio.sleep(0.02)
    said_at = anyio.current_time()
    await anyio.sleep(rng.uniform(*LEAVING_S))
    if not limit.cancelled_caught:
        span = (runner.worker.name, said_at, anyio.current_time())
        installation.leaving.append(span)
    runner.worker.leaving = False


@fault
async def change_configuration(installation: Installation, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 4)):
        present = set(installation.changes[-1].prefixes)
        # A prefix that is removed does not come back, so that each tells of a version.
        extra = sorted(present - {"/stock/"})
        if extra and rng.random() < 0.4:
            present.discard(rng.choice(extra))
        else:
            present.add(f"/extra-{len(installation.changes)}/")
        installation.configure(present)
        await anyio.sleep(rng.uniform(0.0, 0.8))
