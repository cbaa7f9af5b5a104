"""Log output as text, as JSON, or as JSON lines with a rate limit."""

import os
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger


TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name}: {message} {extra}"
# Size of the token bucket: a burst may have as many lines as the rate allows in this
# time.
BURST_S = 5.0
# Bounds the buffer of unwritten output while standard output is blocked.
MAX_BACKLOG_BYTES = 256 * 1024


def configure_logs(log_format: str = "text", level: str = "INFO") -> None:
    """Send the logs of this process to standard error.

    Usage::

        configure_logs("json", "INFO")

    :param log_format: ``"text"`` or ``"json"``.
    """
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)


def configure_decision_log(lines_per_s: float, level: str = "INFO") -> None:
    """Send the logs of this process to standard output as short JSON lines.

    Usage::

        configure_decision_log(200)

    :param lines_per_s: Mean rate of lines; excess lines are dropped and counted.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = RateLimitedSink(lambda data: os.write(descriptor, data), lines_per_s)
    logger.remove()
    logger.add(sink, level=level, format="{message}", diagnose=False)


class RateLimitedSink:
    """Writes log records as JSON lines with a rate limit and without blocking.

    The first line after a gap reports how many lines were dropped. Warnings, errors and
    lines that are bound as ``rare`` count towards the rate limit, and may exceed it by
    one more burst. They are limited at all since a client can cause a warning with each
    connection.

    :param write: Writes some of the given bytes and returns how many; raises
        `BlockingIOError` if it cannot write any.
    :param lines_per_s: Mean rate of lines.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        lines_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.write_some = write
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.tokens = lines_per_s * BURST_S
        self.refilled_at = clock()
        self.dropped_lines = 0
        self.backlog = bytearray()

    def __call__(self, message: Any) -> None:
        record = message.record
        now = self.clock()
        self.tokens = min(
            self.lines_per_s * BURST_S,
            self.tokens + (now - self.refilled_at) * self.lines_per_s,
        )
        self.refilled_at = now
        extra = dict(record["extra"])
        is_warning = record["level"].no >= logger.level("WARNING").no
        may_exceed = extra.pop("rare", False) or is_warning
        needed = 1 - self.lines_per_s * BURST_S if may_exceed else 1
        if self.tokens < needed or len(self.backlog) > MAX_BACKLOG_BYTES:
            self.dropped_lines += 1
            self._flush()
            return
        self.tokens -= 1
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name.lower(),
            "module": record["name"].removeprefix("marigoldkeel."),
            "message": record["message"],
            **extra,
        }
        if record["exception"] is not None:
            line["exception"] = str(message)
        if self.dropped_lines:
            line["lines_left_out"] = self.dropped_lines
            self.dropped_lines = 0
        self.backlog += msgspec.json.encode(line, enc_hook=str) + b"\n"
        self._flush()

    def _flush(self) -> None:
        try:
            while self.backlog:
                written = self.write_some(bytes(self.backlog))
                del self.backlog[:written]
        except BlockingIOError:
            return
