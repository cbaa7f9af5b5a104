"""A status report of another writer arrives: do tasks run twice?"""

import asyncio
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Installation, call, run_case  # noqa: E402


async def case(installation: Installation, trouble: bool) -> list[str]:
    await installation.open(entries=2, agents=4)
    jobs = [
        asyncio.ensure_future(installation.submit(front, 3000, 4, 8000))
        for front in installation.fronts * 2
    ]
    await asyncio.sleep(1.0)
    if trouble:
        content = {
            "service": "unheard-of",
            "addr": "127.0.0.1:9",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 65536, "gpus": 0},
            "labels": ["a"],
            "clock_ms": 1000,
            "born": round(time.time() * 1000),
            "seq": 1,
        }
        agent = installation.runners[0].agent
        path = "/api/instances/i-other"
        answer = await call(agent, "PUT", path, content=content)
        installation.record.add(f"report of another writer to side-0: {answer}")
    await asyncio.gather(*jobs)
    return installation.overlaps()


run_case(case, str(Path(__file__).parent))
