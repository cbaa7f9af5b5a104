"""Runs a case as a script: exit status, time limit and verdict."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig_record import Record


HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0

# Without the disruption, the same must hold.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))


def run_case(folder: Path, case: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Run a case, write its record and end with its verdict as the exit status.

    :param case: Returns the events that broke the rule.
    """

    async def run(record: Record) -> list[str]:
        # Channels that end while a stand-in uses them are expected.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # So that the processes are ended if the script is.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    record = Record(folder / "record.txt")
    record.note(f"seed {SEED}, {'with' if TROUBLE else 'without'} the disruption")
    try:
        broken = asyncio.run(run(record))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        record.note(traceback.format_exc())
        print("the case could not run:", traceback.format_exc())
        sys.exit(NOT_RUN)
    verdict = "broken" if broken else "held"
    for line in broken:
        record.note(f"breaks the rule: {line}")
        print(line)
    record.note(f"the rule was {verdict}: {len(broken)} breaks")
    record.close()
    print(f"the rule was {verdict}: {len(broken)} breaks")
    sys.exit(BROKEN if broken else HELD)
