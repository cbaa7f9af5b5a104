"""Runs the callers in a process of their own, which the stand-ins do not delay.

The soak test writes the targets of the callers to the process, then the prefixes of all
queues after each change of the configuration, one JSON line each. The end of its input
stops the callers, whose observations the process then writes as a pickle. Both use the
same monotonic clock.
"""

import logging
import pickle
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace

import anyio
import msgspec
from anyio.abc import ByteSendStream
from loguru import logger

from soak.callers import Callers, Probe, SentJob
from soak.installations import Installation
from soak.programs import Program


CHECK_INTERVAL_S = 0.01


@dataclass
class LoopLag:
    """Measures the largest delay of the event loop in which it runs."""

    seconds: float = 0.0

    async def measure(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = anyio.current_time() + CHECK_INTERVAL_S
            await anyio.sleep(CHECK_INTERVAL_S)
            self.seconds = max(self.seconds, anyio.current_time() - due_at)


@dataclass
class Load:
    """The process of the callers, and what they observed.

    :ivar stopping: Whether the callers are to stop.
    :ivar lag_s: The largest delay of the callers' event loop.

    Usage::

        load = Load(installation, "callers 7")
        group.start_soon(load.run)
        load.stopping = True
    """

    installation: Installation
    seed: str
    stopping: bool = False
    jobs: list[SentJob] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    lag_s: float = 0.0

    async def run(self) -> None:
        """Run the callers until they are stopped and their last request has ended."""
        command = [sys.executable, "-m", "soak.loads"]
        async with await anyio.open_process(command, stderr=None) as process:
            async with anyio.create_task_group() as group:
                group.start_soon(self._instruct, process.stdin)
                output = [part async for part in process.stdout]
        self.jobs, self.probes, self.lag_s = pickle.loads(b"".join(output))
        entries = {entry.name: entry for entry in self.installation.entries}
        for job in self.jobs:
            for attempt in job.attempts:
                attempt.entry = entries[attempt.entry.name]
        for probe in self.probes:
            probe.entry = entries[probe.entry.name]
            probe.pid = probe.entry.pid_at(probe.sent_at)

    async def _instruct(self, stdin: ByteSendStream) -> None:
        entries = {
            entry.name: entry.callers_link.address
            for entry in self.installation.entries
        }
        prefixes = sorted(self.installation.prefixes)
        async with stdin:
            await stdin.send(_line([self.seed, entries, prefixes]))
            while not self.stopping:
                await anyio.sleep(CHECK_INTERVAL_S)
                told, prefixes = prefixes, sorted(self.installation.prefixes)
                if prefixes != told:
                    await stdin.send(_line(prefixes))


def _line(content: list) -> bytes:
    return msgspec.json.encode(content) + b"\n"


async def serve() -> None:
    """Run the callers as the standard input says, and write what they observed."""
    lines = anyio.wrap_file(sys.stdin)
    seed, entries, prefixes = msgspec.json.decode(await lines.readline())
    installation = SimpleNamespace(prefixes=prefixes)
    installation.entries = [
        Program(name, {}, Path(), callers_link=SimpleNamespace(address=address))
        for name, address in entries.items()
    ]
    callers, lag = Callers(installation, random.Random(seed)), LoopLag()

    async def follow() -> None:
        async for line in lines:
            installation.prefixes = msgspec.json.decode(line)
        callers.stopping = True

    async with anyio.create_task_group() as group:
        group.start_soon(lag.measure)
        group.start_soon(follow)
        await callers.run()
        group.cancel_scope.cancel()
    observed = callers.jobs, callers.probes, lag.seconds
    sys.stdout.buffer.write(pickle.dumps(observed))


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    logger.disable("marigoldkeel")
    anyio.run(serve)
