"""Tasks run twice: an entry that wakes goes on placing the job that it was placing."""

import asyncio
import sys
import time
from pathlib import Path
from signal import SIGCONT, SIGSTOP


sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3 import TROUBLE, CannotRunError, Rig, main, step  # noqa: E402


STEPS = 200
WORK_MS = 1200
# How long the client waits for its answer, and then until it sends its job again.
WAITS_S = 1.5
RETRANSMIT_S = 1.3
FREEZE_S = 3.6
ROUNDS = 10
# When the entry is frozen after the job was sent, as a share of the time that it takes
# to the job's first start.
FIRST_SHARE, LAST_SHARE = 0.25, 0.6
CALM_S = 1.0


async def submit(rig: Rig, job_id: str) -> None:
    """Hand in a job; without an answer, send it again to the other entry."""
    steps = [step(cpu=50, estimate_ms=WORK_MS) for _ in range(STEPS)]
    first, second = rig.entries
    if await first.submit(job_id, steps, WORK_MS, WAITS_S) in (0, 502, 504):
        await asyncio.sleep(RETRANSMIT_S)
        await second.submit(job_id, steps, WORK_MS, WAITS_S)


async def measure(rig: Rig, job_id: str) -> float:
    """Return the time from sending a job to its first start."""
    posted = rig.spawn(submit(rig, job_id))
    began_at = time.monotonic()
    while not rig.starts_of(job_id):
        if time.monotonic() - began_at > WAITS_S:
            raise CannotRunError("the job has not started")
        await asyncio.sleep(0)
    seconds = time.monotonic() - began_at
    await posted
    return seconds


async def case(rig: Rig) -> list[str]:
    frozen = rig.entries[0]
    to_start_s = await measure(rig, f"{1:016x}")
    rig.record.add(f"a job starts {1000 * to_start_s:.1f} ms after it is sent")
    broken = []
    for number in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        job_id = f"{0xD0 + number:016x}"
        share = FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * number / (ROUNDS - 1)
        posted = rig.spawn(submit(rig, job_id))
        await asyncio.sleep(share * to_start_s)
        if TROUBLE:
            frozen.send(SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            frozen.send(SIGCONT)
        await posted
        overlaps = rig.overlaps_of(job_id)
        rig.record.add(f"{len(overlaps)} tasks of {job_id} ran twice at the same time")
        broken += overlaps[:2]
    return broken


main(case, entries=2, runners=3)
