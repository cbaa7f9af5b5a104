"""Faults injected into an installation from outside; each also ends by itself."""

import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore
import msgspec

from emulator.addresses import free_address
from emulator.proxies import Proxy
from emulator.runners import RunnerEmulator
from marigoldkeel.fleet.directory import record_key
from marigoldkeel.platform.plans import EVACUATION_PREFIX
from soak.installations import DOMAINS, EVACUATE_S, GRACE_S, Installation
from soak.programs import Program


RESTART_RANGE_S = (0.05, 2.0)
PAUSE_RANGE_S = (0.2, 4.0)
FAULT_RANGE_S = (0.2, 5.0)
DELAYS_S = (0.005, 0.05, 0.4)
STORE_FAULT_RANGE_S = (0.5, 5.0)
LEAVING_RANGE_S = (2.5, 5.0)
EVACUATION_RANGE_S = (EVACUATE_S + 1.0, EVACUATE_S + 4.0)
REORDER_RANGE_S = (0.0, 3.0)
# Time limit for the acknowledgement of the report that a worker is leaving.
REPORT_TIMEOUT_S = 1.5
# Start-up time of the Python interpreter on a busy machine.
INTERPRETER_START_S = 0.3
FOREIGN_INTERVAL_S = (0.0, 0.4)
OVERWRITTEN_RANGE_S = (0.2, 3.0)
CRASH_SHARE = 0.5
LATE_REPORT_SHARE = 0.3
# How far the boot of a crashed worker is from its last one, in milliseconds.
BOOT_CHANGES_MS = (1, 5000)
# How long before the pause of its process a link of callers may break.
BREAK_BEFORE_PAUSE_S = 0.5

Fault = Callable[[Installation, random.Random], Awaitable[None]]
faults: dict[str, Fault] = {}
# The faults in which a process is told what only another one can know, or is not heard.
foreign_faults: dict[str, Fault] = {}
# What an operator does to the whole installation.
operator_faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    faults[function.__name__] = function
    return function


def foreign_fault(function: Fault) -> Fault:
    """Register a fault of another writer, or of the links from callers."""
    foreign_faults[function.__name__] = function
    return fault(function)


def operator_fault(function: Fault) -> Fault:
    """Register an order of an operator under the name of its function."""
    operator_faults[function.__name__] = function
    return fault(function)


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
    began_at = anyio.current_time()
    await anyio.sleep(rng.uniform(*STORE_FAULT_RANGE_S))
    store.restore()
    if kind in ("down", "silent", "slow"):
        installation.store_outages.append((began_at, anyio.current_time()))


@fault
async def disturb_worker(installation: Installation, rng: random.Random) -> None:
    runner = rng.choice(installation.runners)
    worker = runner.worker
    worker.advance(runner.now)
    kind = rng.choice(("crash", "mute", "lossy", "failing", "hanging"))
    if kind == "crash":
        _crash(runner, rng)
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


def _crash(runner: RunnerEmulator, rng: random.Random) -> None:
    """Crash a worker, whose clock may then be set back."""
    runner.worker.advance(runner.now)
    change = rng.randint(*BOOT_CHANGES_MS)
    runner.worker.crash(change if rng.random() < 0.5 else -change)


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


@operator_fault
async def evacuate_domain(installation: Installation, rng: random.Random) -> None:
    """Evacuate a domain, and take it back after longer than the bound.

    In half of the cases the order is withdrawn and issued again before.
    """
    store = installation.store
    served = sorted(set(DOMAINS) - installation.evacuated)
    # One domain is left, so that jobs are still served.
    if len(served) < 2:
        return
    domain = rng.choice(served)
    installation.evacuated.add(domain)
    while store.error_status or store.silent or store.delay_s:
        await anyio.sleep(0.05)
    key = EVACUATION_PREFIX + domain
    if rng.random() < 0.5:
        store.put(key, b"{}")
        await anyio.sleep(rng.uniform(*REORDER_RANGE_S))
        store.remove(key)
        await anyio.sleep(rng.uniform(0.0, 0.5))
    ordered_at = anyio.current_time()
    store.put(key, b"{}")
    await anyio.sleep(rng.uniform(*EVACUATION_RANGE_S))
    installation.evacuations.append((domain, ordered_at, anyio.current_time()))
    store.remove(key)
    installation.evacuated.discard(domain)


FOREIGN_REPORTS: dict[str, dict[str, Any]] = {
    "other service": {"service": "unknown"},
    "other state": {"state": "unknown"},
    "zone is no text": {"zone": 7},
    "capacity is a list": {"capacity": [4000]},
    "boot is text": {"born": "later"},
    "no capacity left": {"capacity": {"cpu": 0, "mem_mb": 0, "gpus": 0}},
}


def foreign_report(report: dict, kind: str, boot_change: int) -> bytes:
    """Return a report of another writer that is made from the worker's own one.

    One of another worker has another boot, as no two start in the same millisecond.
    """
    if kind == "unreadable":
        return b"\xff\x00{"
    born = {"born": report["born"] + boot_change}
    return msgspec.json.encode({**report, **born, **FOREIGN_REPORTS.get(kind, {})})


async def _send_to_agent(
    installation: Installation, number: int, method: str, worker: str, content: bytes
) -> None:
    """Send a request about a worker to an agent, which may not be running."""
    address = installation.agents[number].settings["worker"]["reports"]
    url = f"http://{address}/api/instances/{worker}"
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with anyio.move_on_after(REPORT_TIMEOUT_S):
                await pool.request(method, url, content=content)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return


@foreign_fault
async def report_as_another(installation: Installation, rng: random.Random) -> None:
    number = rng.randrange(len(installation.agents))
    runner = installation.runners[number]
    for _ in range(rng.randint(1, 6)):
        worker = rng.choice((runner.worker.name, "i-foreign"))
        kind = rng.choice((*sorted(FOREIGN_REPORTS), "unreadable", "boot", "boot"))
        change = rng.choice((-1, 1)) * rng.randint(*BOOT_CHANGES_MS)
        if worker == runner.worker.name and kind != "boot":
            change = 0
        report = {**runner.report(), "seq": runner.sequence + rng.choice((0, 1))}
        content = foreign_report(report, kind, change)
        await _send_to_agent(installation, number, "PUT", worker, content)
        await anyio.sleep(rng.uniform(*FOREIGN_INTERVAL_S))


@foreign_fault
async def announce_exit_late(installation: Installation, rng: random.Random) -> None:
    """Deliver exit announcements and reports late, or those of another worker."""
    number = rng.randrange(len(installation.agents))
    runner = installation.runners[number]
    report = msgspec.json.encode(runner.report())
    if rng.random() < CRASH_SHARE:
        _crash(runner, rng)
    for _ in range(rng.randint(1, 4)):
        await anyio.sleep(rng.choice((0.0, rng.uniform(*FOREIGN_INTERVAL_S))))
        if rng.random() < LATE_REPORT_SHARE:
            name, method = runner.worker.name, "PUT"
        else:
            name, method = rng.choice((runner.worker.name, "i-foreign")), "DELETE"
        await _send_to_agent(installation, number, method, name, report)


@foreign_fault
async def overwrite_record(installation: Installation, rng: random.Random) -> None:
    records = installation.records
    agent, other = rng.sample(installation.agents, 2)
    key = record_key(agent.settings["name"])
    addresses = (free_address(installation.host), other.settings["advertise"])
    for _ in range(rng.randint(1, 3)):
        own = records.own_value(key)
        if own is not None:
            changed = rng.choice(
                (
                    *({"address": address} for address in addresses),
                    {"incarnation": f"{agent.name}@earlier", "worker": None},
                    msgspec.json.decode(records.first[key]),
                )
            )
            content = {**msgspec.json.decode(own), **changed}
            records.overwrite(key, msgspec.json.encode(content))
        await anyio.sleep(rng.uniform(*OVERWRITTEN_RANGE_S))
        records.set_back(key)
        await anyio.sleep(rng.choice((0.0, rng.uniform(*FOREIGN_INTERVAL_S))))


@foreign_fault
async def silence_callers(installation: Installation, rng: random.Random) -> None:
    entry = rng.choice(installation.entries)
    with entry.disturbed("cut off"):
        rng.choice((entry.callers_link.silence, lambda: _block(entry, rng)))()
        await _restore_after_delay(rng, entry.callers_link)


def _block(entry: Program, rng: random.Random) -> None:
    entry.callers_link.block(rng.choice(("towards", "back")))


@foreign_fault
async def break_callers_around_pause(
    installation: Installation, rng: random.Random
) -> None:
    """Break the links of callers, which turn to another entry, around a pause."""

    async def pause(entry: Program) -> None:
        pause_s = rng.uniform(*PAUSE_RANGE_S)
        break_after_s = rng.uniform(-BREAK_BEFORE_PAUSE_S, pause_s)
        with entry.disturbed("cut off"), entry.disturbed("paused"):
            if break_after_s < 0:
                entry.callers_link.reset()
                await anyio.sleep(-break_after_s)
            entry.signal_process(signal.SIGSTOP)
            await anyio.sleep(max(0.0, break_after_s))
            if break_after_s >= 0:
                entry.callers_link.reset()
            await anyio.sleep(pause_s - max(0.0, break_after_s))
            entry.signal_process(signal.SIGCONT)

    await _with_idle_process(installation, rng, pause, installation.entries)
