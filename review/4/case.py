"""An entry freezes and wakes: do jobs that were sent again meanwhile run twice?"""

import asyncio
import signal
import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Installation, run_case  # noqa: E402


FREEZES = 8
FREEZE_S = 3.3
GAP_S = 3.0
DEADLINE_MS = 1500


async def case(installation: Installation, trouble: bool) -> list[str]:
    await installation.open(entries=2, agents=6)
    jobs = []

    async def send_jobs() -> None:
        while True:
            for fronts in (installation.fronts, installation.fronts[::-1]):
                attempts = installation.submit_until_answered(
                    fronts, 1000, 2, DEADLINE_MS
                )
                jobs.append(asyncio.ensure_future(attempts))
            await asyncio.sleep(0.2)

    traffic = asyncio.ensure_future(send_jobs())
    await asyncio.sleep(2.0)
    for _ in range(FREEZES):
        entry = installation.entries[0]
        if trouble:
            installation.record.add(f"{entry.name} freezes")
            entry.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if trouble:
            installation.record.add(f"{entry.name} wakes")
            entry.signal(signal.SIGCONT)
        await asyncio.sleep(GAP_S)
    traffic.cancel()
    await asyncio.gather(*jobs)
    return installation.overlaps()


run_case(case, str(Path(__file__).parent))
