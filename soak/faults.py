"""Faults injected into an installation from outside; each also ends by itself."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from emulator.proxies import Proxy
from soak.installations import GRACE_S, Installation
from soak.programs import Program


RESTART_RANGE_S = (0.05, 2.0)
PAUSE_RANGE_S = (0.2, 4.0)
FAULT_RANGE_S = (0.2, 5.0)
DELAYS_S = (0.005, 0.05, 0.4)
STORE_FAULT_RANGE_S = (0.5, 5.0)
LEAVING_RANGE_S = (2.5, 5.0)
# Time limit for the acknowledgement of the report that a worker is leaving.
REPORT_TIMEOUT_S = 1.5
# Start-up time of the Python interpreter on a busy machine.
INTERPRETER_START_S = 0.3

Fault = Callable[[Installation, random.Random], Awaitable[None]]
faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    faults[function.__name__] = function
    return function


async def _with_idle_process(
    installation: Installation,
    rng: random.Random,
    action: Callable[[Program], Awaitable[None]],
    programs: list[Program] | None = None,
) -> None:
    """Apply an action to a random process on which no other action is in progress."""
    idle = [item for item in programs or installation.programs if not item.fault_active]
    if not idle:
        return
    program = rng.choice(idle)
    program.fault_active = True
    try:
        await action(program)
    finally:
        program.fault_active = False


@fault
async def kill_process(installation: Installation, rng: random.Random) -> None:
    async def kill(program: Program) -> None:
        with program.disturbed("killed"):
            program.kill()
            await anyio.sleep(rng.uniform(*RESTART_RANGE_S))
            program.launch()

    await _with_idle_process(installation, rng, kill)


@fault
async def kill_many(installation: Installation, rng: random.Random) -> None:
    async with anyio.create_task_group() as group:
        for _ in range(rng.randint(2, len(installation.programs))):
            group.start_soon(kill_process, installation, rng)


@fault
async def pause_process(installation: Installation, rng: random.Random) -> None:
    async def pause(program: Program) -> None:
        with program.disturbed("paused"):
            program.signal_process(signal.SIGSTOP)
            await anyio.sleep(rng.uniform(*PAUSE_RANGE_S))
            program.signal_process(signal.SIGCONT)

    await _with_idle_process(installation, rng, pause)


@fault
async def stop_as_planned(installation: Installation, rng: random.Random) -> None:
    async def stop(program: Program) -> None:
        with program.disturbed("stopped"):
            await program.stop(GRACE_S)
            await anyio.sleep(rng.uniform(*RESTART_RANGE_S))
            program.launch()

    await _with_idle_process(installation, rng, stop)


@fault
async def reload_settings(installation: Installation, rng: random.Random) -> None:
    async def reload(program: Program) -> None:
        program.signal_process(signal.SIGHUP)

    # SIGHUP ends a process whose interpreter is still starting, as no signal handler is
    # installed yet.
    started = [
        item for item in installation.programs if item.age_s > INTERPRETER_START_S
    ]
    if started:
        await _with_idle_process(installation, rng, reload, started)


def _random_link(installation: Installation, rng: random.Random) -> Proxy:
    return rng.choice(installation.proxies)


async def _restore_after_delay(rng: random.Random, *proxies: Proxy) -> None:
    await anyio.sleep(rng.uniform(*FAULT_RANGE_S))
    for proxy in proxies:
        proxy.restore()


@fault
async def reset_link(installation: Installation, rng: random.Random) -> None:
    _random_link(installation, rng).reset()


@fault
async def reset_all_links(installation: Installation, rng: random.Random) -> None:
    for proxy in installation.proxies:
        proxy.reset()


@fault
async def silence_link(installation: Installation, rng: random.Random) -> None:
    proxy = _random_link(installation, rng)
    proxy.silence()
    await _restore_after_delay(rng, proxy)


@fault
async def cut_link_one_way(installation: Installation, rng: random.Random) -> None:
    proxy = _random_link(installation, rng)
    proxy.block(rng.choice(("towards", "back")))
    await _restore_after_delay(rng, proxy)


@fault
async def delay_link(installation: Installation, rng: random.Random) -> None:
    proxy = _random_link(installation, rng)
    proxy.delay(rng.choice(DELAYS_S))
    await _restore_after_delay(rng, proxy)


@fault
async def cut_off_process(installation: Installation, rng: random.Random) -> None:
    links = list(rng.choice(installation.programs).links.values())
    for proxy in links:
        proxy.silence()
    await _restore_after_delay(rng, *links)


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
    await anyio.sleep(rng.uniform(*STORE_FAULT_RANGE_S))
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
    await anyio.sleep(rng.uniform(*FAULT_RANGE_S))
    runner.restore()


@fault
async def empty_worker(installation: Installation, rng: random.Random) -> None:
    runner = rng.choice(installation.runners)
    if runner.worker.leaving:
        return
    reports_before = len(runner.reports)
    runner.worker.leaving = True
    with anyio.move_on_after(REPORT_TIMEOUT_S) as timeout_scope:
        while 200 not in runner.reports[reports_before + 1 :]:
            await anyio.sleep(0.02)
    reported_at = anyio.current_time()
    await anyio.sleep(rng.uniform(*LEAVING_RANGE_S))
    if not timeout_scope.cancelled_caught:
        period = (runner.worker.name, reported_at, anyio.current_time())
        installation.leaving_periods.append(period)
    runner.worker.leaving = False


@fault
async def change_configuration(installation: Installation, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 4)):
        current = set(installation.changes[-1].prefixes)
        # A removed prefix is not added again, so that each prefix identifies versions.
        removable = sorted(current - {"/stock/"})
        if removable and rng.random() < 0.4:
            current.discard(rng.choice(removable))
        else:
            current.add(f"/extra-{len(installation.changes)}/")
        installation.configure(current)
        await anyio.sleep(rng.uniform(0.0, 0.8))
