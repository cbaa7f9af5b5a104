"""Faults injected into an installation from outside; each also ends by itself."""

import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import msgspec

from emulator.addresses import free_address
from emulator.proxies import Proxy
from emulator.runners import RunnerEmulator
from marigoldkeel.fleet.directory import record_key
from marigoldkeel.platform.plans import EVACUATION_PREFIX
from soak.installations import (
    DOMAINS,
    EVACUATE_S,
    GRACE_S,
    CancelledJob,
    Installation,
    entry_url,
)
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

# A job whose steps run one after the other, long enough for late ones, and when it is
# cancelled and the entry stopped that has confirmed this.
CHAIN_STEPS = 14
CHAIN_WORK_MS = 1000
CHAIN_DEADLINE_S = 30.0
CANCEL_AFTER_S = 1.0
STOP_AFTER_S = 0.2
CUT_RANGE_S = (0.0, 2.0)
CONFIRM_TIMEOUT_S = 5.0
CONFIRM_RETRY_S = 0.05
CANCELLED_STATUSES = (200, 410)
# How long starts are recorded after the end of the disruption of a cancelled job.
LATE_STARTS_S = 5.0
AGENT_STOPS = (2, 4)

Fault = Callable[[Installation, random.Random], Awaitable[None]]
faults: dict[str, Fault] = {}
# The faults in which a process is told what only another one can know, or is not heard.
foreign_faults: dict[str, Fault] = {}
# What an operator does to the whole installation.
operator_faults: dict[str, Fault] = {}
# The faults that may lose what was promised at a planned stop, or told once to the
# processes that were known then.
handover_faults: dict[str, Fault] = {}


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


def handover_fault(function: Fault) -> Fault:
    """Register a fault of what a process hands over or tells others once."""
    handover_faults[function.__name__] = function
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


@handover_fault
async def restart_agent_at_once(installation: Installation, rng: random.Random) -> None:
    """Stop an agent as planned, again and again; its successor is there at once.

    Its owners then claim runs whose start orders may still be on their way.
    """

    async def restart(agent: Program) -> None:
        for _ in range(rng.randint(*AGENT_STOPS)):
            with agent.disturbed("stopped"):
                await agent.stop(GRACE_S)
                agent.launch()
            await anyio.sleep(rng.uniform(*RESTART_RANGE_S))

    await _with_idle_process(installation, rng, restart, installation.agents)


@handover_fault
async def stop_after_cancelling(installation: Installation, rng: random.Random) -> None:
    """Stop an entry as planned that has cancelled a job of one that is cut off."""
    async with _chains(installation, rng, 1) as (confirming, jobs):
        if not jobs:
            return
        ((job_id, owner),) = jobs.items()
        began_at = anyio.current_time()
        owner.links["peers"].silence()
        try:
            confirmed = await _cancel(confirming, job_id)
            await anyio.sleep(STOP_AFTER_S)
            with confirming.disturbed("stopped"):
                await confirming.stop(GRACE_S)
                await anyio.sleep(rng.uniform(*RESTART_RANGE_S))
                confirming.launch()
            await anyio.sleep(rng.uniform(*CUT_RANGE_S))
        finally:
            # What was sent meanwhile is lost, or the owner would get it now.
            owner.links["peers"].reset()
            owner.links["peers"].restore()
        await _record_cancelled(installation, [job_id] * confirmed, began_at)


@handover_fault
async def cancel_at_new_entry(installation: Installation, rng: random.Random) -> None:
    """Cancel jobs at an entry that has just started and that the store turns away."""
    others = len(installation.entries) - 1
    async with _chains(installation, rng, others) as (confirming, jobs):
        if not jobs:
            return
        began_at = anyio.current_time()
        confirming.links["store"].silence()
        try:
            with confirming.disturbed("killed"):
                confirming.kill()
                await anyio.sleep(rng.uniform(*RESTART_RANGE_S))
                confirming.launch()
            cancelled = [job for job in jobs if await _cancel(confirming, job)]
            await anyio.sleep(rng.uniform(*CUT_RANGE_S))
        finally:
            confirming.links["store"].restore()
        await _record_cancelled(installation, cancelled, began_at)


@asynccontextmanager
async def _chains(
    installation: Installation, rng: random.Random, count: int
) -> AsyncIterator[tuple[Program, dict[str, Program]]]:
    """Submit a job of many steps to some entries, and yield another entry and them.

    Other faults leave the entries alone meanwhile. There are no jobs if one already
    acts on an entry, and none of an entry that has refused its job.
    """
    entries = installation.entries
    if any(entry.fault_active for entry in entries):
        yield entries[0], {}
        return
    for entry in entries:
        entry.fault_active = True
    try:
        confirming, *owners = rng.sample(entries, 1 + count)
        jobs = {f"{rng.getrandbits(64):016x}": owner for owner in owners}
        async with anyio.create_task_group() as group:
            for job_id, owner in dict(jobs).items():
                group.start_soon(_submit_chain, jobs, job_id, owner)
            await anyio.sleep(CANCEL_AFTER_S)
            yield confirming, jobs
            group.cancel_scope.cancel()
    finally:
        for entry in entries:
            entry.fault_active = False


async def _submit_chain(jobs: dict[str, Program], job_id: str, owner: Program) -> None:
    """Submit a job; remove it from the jobs if it ends before it can be cancelled."""
    steps = [
        {
            "count": 1,
            "cpu": 1000,
            "mem_mb": 64,
            "estimate_ms": CHAIN_WORK_MS,
            "after": [number - 1] if number else [],
        }
        for number in range(CHAIN_STEPS)
    ]
    task = {"work_ms": CHAIN_WORK_MS, "cpu": 1000, "fails": False}
    spec = msgspec.json.encode(task).decode()
    content = {"spec": spec, "steps": steps, "best_effort": True}
    submitted_at = anyio.current_time()
    await _send_to_entry(owner, "POST", job_id, CHAIN_DEADLINE_S, content)
    if anyio.current_time() - submitted_at < CANCEL_AFTER_S:
        jobs.pop(job_id, None)


async def _cancel(entry: Program, job_id: str) -> bool:
    """Cancel a job at an entry, which may be starting; return whether it confirms."""
    with anyio.move_on_after(CONFIRM_TIMEOUT_S):
        while True:
            status = await _send_to_entry(entry, "DELETE", job_id, CONFIRM_TIMEOUT_S)
            if status in CANCELLED_STATUSES:
                return True
            await anyio.sleep(CONFIRM_RETRY_S)
    return False


async def _send_to_entry(
    entry: Program, method: str, job_id: str, timeout_s: float, content: Any = None
) -> int:
    """Send a request about a job; return its status, or 0 if there is no answer."""
    url, headers = entry_url(entry, f"/stock/{job_id}")
    headers["marigoldkeel-deadline-ms"] = str(round(1000 * timeout_s))
    body = b"" if content is None else msgspec.json.encode(content)
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with anyio.move_on_after(timeout_s):
                response = await pool.request(
                    method, url, headers=headers, content=body
                )
                return response.status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
    return 0


async def _record_cancelled(
    installation: Installation, jobs: list[str], began_at: float
) -> None:
    """Wait until late starts would have been seen, and record the cancelled jobs."""
    calm_at = anyio.current_time()
    await anyio.sleep(LATE_STARTS_S)
    ended_at = anyio.current_time()
    for job_id in jobs:
        cancelled = CancelledJob(job_id, began_at, calm_at, ended_at)
        installation.cancelled_jobs.append(cancelled)
