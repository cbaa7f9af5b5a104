"""Runs daemons as separate processes and waits for conditions on them."""

import signal
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpcore
import msgspec


# Ends a test whose condition never becomes true; no test result depends on its length.
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


def request(method: str, url: str, content: Any = None) -> Any:
    """Return the JSON response of a daemon, or None if there was no valid response."""
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), 1.0)
    body = b"" if content is None else msgspec.json.encode(content)
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method, url, content=body, extensions={"timeout": timeouts}
            )
        return msgspec.json.decode(response.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        msgspec.DecodeError,
    ):
        return None


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Wait until ``condition`` returns a true value, and return that value.

    :param description: The condition in words, for the time-out error.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {WAIT_TIMEOUT_S} s until {description}")
        time.sleep(POLL_INTERVAL_S)
    return value


@dataclass
class DaemonProcess:
    """A process and the arguments with which it is restarted."""

    name: str
    arguments: list[str]
    http: str = ""
    address: str = ""
    domain: str = ""
    popen: subprocess.Popen | None = None
    log: Path | None = None

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.popen.wait(WAIT_TIMEOUT_S)

    def stop(self) -> int:
        """Request a planned stop, wait for it and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(WAIT_TIMEOUT_S)

    @property
    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def status(self) -> dict | None:
        return request("GET", f"http://{self.http}/v1/status") if self.alive else None
