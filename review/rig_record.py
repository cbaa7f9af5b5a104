"""The record of a script: what was sent, answered and run."""

import time
from pathlib import Path


# A runner notes the end of a run or of a lease this late at most.
RESOLUTION_S = 0.02


class Record:
    """Writes one line for each event, and keeps the runs for the checks.

    :ivar runs: For each task, its runs as [runner, number, started, ended, how].
    """

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.began = time.monotonic()
        self.runs: dict[str, list[list]] = {}

    @property
    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now:9.3f}  {text}\n")
        self.file.flush()

    def started(self, runner: str, task: str, number: int, spec: str, late) -> None:
        """Record that a run has begun."""
        self.runs.setdefault(task, []).append([runner, number, self.now, None, ""])
        when = ", ordered earlier" if late else ""
        self.note(f"{runner} begins {task} run {number} {spec}{when}")

    def ended(self, runner: str, task: str, number: int, how: str) -> None:
        """Record that a run has ended."""
        for row in self.runs.get(task, []):
            if row[:2] == [runner, number] and row[3] is None:
                row[3], row[4] = self.now, how
        self.note(f"{runner} ends {task} run {number} {how}")

    def overlaps(self) -> list[str]:
        """Return the pairs of runs of one task that were at work at the same time.

        Overlaps below the resolution of the stand-ins don't count.
        """
        found = []
        for task, rows in self.runs.items():
            for index, first in enumerate(rows):
                for second in rows[index + 1 :]:
                    end = min(row[3] or self.now for row in (first, second))
                    start = max(first[2], second[2])
                    if end - start > RESOLUTION_S:
                        found.append(
                            f"{task}: run {first[1]} on {first[0]} and run {second[1]} "
                            f"on {second[0]} from {start:.3f} to {end:.3f}"
                        )
        return found

    def close(self) -> None:
        """Close the file."""
        self.file.close()
