"""A stop order gets no answer, the lease is renewed: two runs at the same time."""

import asyncio
import random
import sys
from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_installation import (  # noqa: E402
    Daemon,
    Installation,
    job_id,
    submit,
)
from rig_record import Record  # noqa: E402
from rig_script import SEED, TROUBLE, run_case  # noqa: E402


CLIENTS = 110
TRAFFIC_S = 85
WORK_MS = 4000
DEADLINE_MS = 6000
# `retransmit_ms` of the sites.
RESEND_S = 1.3
# `applied_late`: the share of the orders as `fleetbench kinds` gives it, and the length
# as the site files do. It comes again and again.
LOST_SHARE = 0.5
LOST_S = 5.5
PAUSE_S = 1.5
# When an entry is killed, from the beginning of such a period.
KILLS_AT_S = (0.5, 3.0)
DOWN_S = 0.5


async def hand_in_jobs(installation: Installation, rng, end: float) -> None:
    """Hand in one job after another; after a broken channel, the same one again."""
    record = installation.record
    await asyncio.sleep(rng.uniform(0, 2))
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": WORK_MS}]
    while record.now < end:
        job = job_id(rng)
        outcome: int | str = ""
        while outcome not in (200, 429, 503) and record.now < end:
            entry = rng.choice(installation.entries)
            outcome = await submit(entry, job, steps, WORK_MS, DEADLINE_MS)
            if outcome != 200:
                await asyncio.sleep(RESEND_S)


async def case(record: Record) -> list[str]:
    rng = random.Random(SEED)
    async with Installation(record, entries=3, runners=4) as installation:
        await installation.wait_until_ready()
        record.note("traffic begins")
        end = record.now + TRAFFIC_S
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
                group.create_task(hand_in_jobs(installation, rng, end))
            await asyncio.sleep(3)
            for number, runner in enumerate(installation.runners):
                runner.random.seed(100 * SEED + number)
            if TROUBLE:
                await disturb(installation, end)
        for runner in installation.runners:
            record.note(f"{runner.name}: {runner.lost} of {runner.orders} orders lost")
        return record.overlaps()


async def disturb(installation: Installation, end: float) -> None:
    """Let the runners leave orders unanswered for a while, and kill an entry, again."""
    killed = 0
    while installation.record.now < end - LOST_S:
        async with asyncio.TaskGroup() as group:
            group.create_task(lose_orders(installation))
            for kill_at_s in KILLS_AT_S:
                entry = installation.entries[killed % len(installation.entries)]
                killed += 1
                group.create_task(restart(entry, kill_at_s))
        await asyncio.sleep(PAUSE_S)


async def lose_orders(installation: Installation) -> None:
    """Let the runners leave starts and stops unanswered; they answer each hold."""
    installation.record.note("the runners leave orders unanswered")
    for runner in installation.runners:
        runner.lost_share = LOST_SHARE
    await asyncio.sleep(LOST_S)
    for runner in installation.runners:
        runner.lost_share = 0.0
    installation.record.note("the runners answer each order again")


async def restart(entry: Daemon, after_s: float) -> None:
    """Kill an entry; the platform starts it again."""
    await asyncio.sleep(after_s)
    entry.kill()
    await asyncio.sleep(DOWN_S)
    entry.launch()


run_case(FOLDER, case)
