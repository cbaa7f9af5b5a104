"""The processes under test and the proxies of their links."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import tomli_w

from emulator.proxies import Proxy


EXIT_POLL_S = 0.02
# A process that has not ended this long after its grace period is killed.
EXIT_MARGIN_S = 3.0


@dataclass
class Disturbance:
    """A period in which a fault killed, paused, stopped or cut off a process."""

    kind: str
    began_at: float
    ended_at: float = float("inf")


@dataclass
class Program:
    """The process of an entry daemon or agent daemon, which may be launched repeatedly.

    :ivar links: The proxies of its links by name, without that of its callers.
    :ivar callers_link: The proxy between callers and an entry.
    :ivar disturbances: When it was killed, paused, stopped or cut off from its callers,
        on the soak test's clock.
    :ivar unexpected_exits: One text for each planned stop that did not end as expected:
        the exit code, or that there was none within the time limit.
    :ivar pids: When each of its processes was started, and its id.
    :ivar fault_active: Whether a fault is acting on the process now, so that no other
        process fault selects it. Includes reloads, which are not disturbances.
    """

    name: str
    settings: dict[str, Any]
    directory: Path
    links: dict[str, Proxy] = field(default_factory=dict)
    callers_link: Proxy | None = None
    process: subprocess.Popen | None = None
    disturbances: list[Disturbance] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    fault_active: bool = False
    launched_at: float = 0.0
    launches: int = 0
    pids: list[tuple[float, int]] = field(default_factory=list)

    @property
    def age_s(self) -> float:
        """Seconds since the process was started."""
        return anyio.current_time() - self.launched_at

    @property
    def log_path(self) -> Path:
        """The log file of the process."""
        return self.directory / f"{self.name}.log"

    @property
    def has_started(self) -> bool:
        """Whether the process has logged its start and so handles signals itself.

        Counts the starts logged by all launches. It stays False once a launch has ended
        before it logged its start.
        """
        return self.log_path.read_text().count("started as") >= self.launches

    @property
    def alive(self) -> bool:
        """Whether the process exists, running or paused."""
        return self.process is not None and self.process.poll() is None

    def launch(self) -> None:
        """Start the process."""
        self.launches += 1
        self.launched_at = anyio.current_time()
        path = self.directory / f"{self.name}.toml"
        path.write_text(tomli_w.dumps(self.settings))
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "marigoldkeel", "serve", str(path)],
                stdout=log,
                stderr=log,
            )
        self.pids.append((self.launched_at, self.process.pid))

    def pid_at(self, moment: float) -> int:
        """Return the id of the last process started by then; 0 if there was none."""
        return max((row for row in self.pids if row[0] <= moment), default=(0, 0))[1]

    def signal_process(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.alive:
            self.process.send_signal(number)

    @contextmanager
    def disturbed(self, kind: str) -> Iterator[None]:
        """Record a disturbance that lasts as long as the block."""
        disturbance = Disturbance(kind, anyio.current_time())
        self.disturbances.append(disturbance)
        yield
        disturbance.ended_at = anyio.current_time()

    def was_disturbed(self, kinds: set[str], since: float, until: float) -> bool:
        """Return whether a disturbance of one of the kinds overlapped the period."""
        return any(
            item.kind in kinds and item.began_at < until and item.ended_at > since
            for item in self.disturbances
        )

    async def stop(self, grace_s: float) -> None:
        """Stop the process as planned and record an unexpected exit.

        A process that is still starting may be ended by SIGTERM itself, since it has no
        work to finish.
        """
        expected_codes = (0,) if self.has_started else (0, -signal.SIGTERM)
        self.signal_process(signal.SIGTERM)
        with anyio.move_on_after(grace_s + EXIT_MARGIN_S):
            while self.alive:
                await anyio.sleep(EXIT_POLL_S)
        code = self.process.poll()
        if code is None:
            self.kill()
        if code not in expected_codes:
            self.unexpected_exits.append(
                "none within the time limit" if code is None else str(code)
            )

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.alive:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
