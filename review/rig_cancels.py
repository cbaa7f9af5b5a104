"""What the cases on cancellations share."""

import asyncio

import rig_web as web
from rig_installation import HOST, PREFIX, Daemon
from rig_record import Record


RETRY_S = 0.02
# `cancel_ms` and `contact_ms` of the sites.
CANCEL_S = 3.0
CONTACT_S = 3.0


def step_chain(count: int, work_ms: int) -> list[dict]:
    """Return steps of one task each, of which each waits for the one before."""
    return [
        {
            "count": 1,
            "cpu": 1000,
            "mem_mb": 64,
            "estimate_ms": work_ms,
            **({"after": [number - 1]} if number else {}),
        }
        for number in range(count)
    ]


async def cancel(entry: Daemon, job: str) -> float:
    """Send DELETE until it is confirmed; return when it was."""
    record = entry.record
    while True:
        try:
            status, _ = await web.call(
                entry.front, "DELETE", PREFIX + job, {"host": HOST}
            )
        except (ConnectionError, OSError, TimeoutError):
            status = 0
        if status in (200, 410):
            record.note(f"{entry.name} answers DELETE {job} with {status}")
            return record.now
        await asyncio.sleep(RETRY_S)


def late_starts(
    record: Record, cancelled: dict[str, float], calm_at: float
) -> list[str]:
    """Return the starts that come too late after a confirmed cancellation.

    :param cancelled: When the cancellation of each job was confirmed.
    :param calm_at: When the disruption ended; machines are in touch `contact_ms` later.
    """
    late = []
    for task, runs in record.runs.items():
        acknowledged_at = cancelled.get(task.split(".")[0])
        if acknowledged_at is None:
            continue
        allowed_until = max(acknowledged_at + CANCEL_S, calm_at + CONTACT_S)
        for runner, number, started_at, _, _ in runs:
            if started_at > allowed_until:
                late.append(
                    f"{runner} began run {number} of {task} at {started_at:.3f}, "
                    f"cancelled at {acknowledged_at:.3f}"
                )
    return late
