"""Callers that submit jobs, retry like the platform's clients and record attempts."""

import random
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from soak.installations import NOT_ACCEPTED_STATUS, Installation, entry_url
from soak.programs import Program


# As on the platform: a caller that got no answer retries after this time.
RETRY_DELAY_S = 1.3
MAX_ATTEMPTS = 3
# HTTP statuses after which the job may have run, so the caller retries.
RETRY_STATUSES = (502, 504)
# Outcomes of attempts that got no HTTP status.
NOT_CONNECTED, CONNECTION_LOST, TIMED_OUT = "not connected", "lost", "silent"
# How much longer a caller waits than the deadline that it sends.
ANSWER_MARGIN_S = 1.5
JOBS_PER_S = 25.0
PROBE_INTERVAL_S = 0.15
# Service times of a task. With the longest, a task is still running when its caller
# retries, so that a run that was not stopped would overlap with the repeated run.
WORK_MS = (30, 60, 120, 300, 900, 2000)
FAILING_JOB_SHARE = 0.02


@dataclass
class Attempt:
    """One request for a job, with its times and its outcome."""

    entry: Program
    sent_at: float
    ended_at: float = float("inf")
    outcome: int | str = ""
    state: str = ""


@dataclass
class SentJob:
    """A job as its caller sees it."""

    job_id: str
    tasks: int
    always_fails: bool
    deadline_s: float
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Probe:
    """Whether an entry knew a queue when it was asked."""

    entry: Program
    prefix: str
    sent_at: float
    ended_at: float
    known: bool
    pid: int


class Callers:
    """Sends jobs to all entries until stopped."""

    def __init__(self, installation: Installation, rng: random.Random):
        self.installation = installation
        self.random = rng
        self.jobs: list[SentJob] = []
        self.probes: list[Probe] = []
        self.stopping = False
        self.pool = httpcore.AsyncConnectionPool(max_connections=None)

    async def run(self) -> None:
        """Send jobs and probes until stopped; return when the last one has ended."""
        async with self.pool:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_probes)
                while not self.stopping:
                    group.start_soon(self._submit, self._create_job())
                    await anyio.sleep(self.random.expovariate(JOBS_PER_S))

    def _create_job(self) -> SentJob:
        job = SentJob(
            f"{self.random.getrandbits(64):016x}",
            self.random.randint(1, 5),
            self.random.random() < FAILING_JOB_SHARE,
            self.random.choice((1.5, 3.0, 5.0)),
        )
        self.jobs.append(job)
        return job

    async def _submit(self, job: SentJob) -> None:
        content = job_content(job, self.random.choice(WORK_MS))
        entry = None
        for _ in range(MAX_ATTEMPTS):
            attempt = await self.send_attempt(job, content, entry)
            entry = self._choose_after(attempt)
            should_retry = (
                isinstance(attempt.outcome, str) or attempt.outcome in RETRY_STATUSES
            )
            if not should_retry or self.stopping:
                return
            await anyio.sleep(RETRY_DELAY_S)

    def _choose_after(self, attempt: Attempt) -> Program | None:
        """Return another entry after a connection broke, otherwise None for any."""
        others = [
            entry for entry in self.installation.entries if entry is not attempt.entry
        ]
        is_broken = attempt.outcome == CONNECTION_LOST
        return self.random.choice(others) if is_broken and others else None

    async def wait_until_serving(self, entry: Program) -> None:
        """Submit jobs to one entry until one is done."""
        while True:
            job = SentJob(f"{self.random.getrandbits(64):016x}", 1, False, 1.0)
            self.jobs.append(job)
            attempt = await self.send_attempt(job, job_content(job, WORK_MS[0]), entry)
            if attempt.state == "done":
                return
            await anyio.sleep(PROBE_INTERVAL_S)

    async def send_attempt(
        self, job: SentJob, content: dict, entry: Program | None = None
    ) -> Attempt:
        entry = entry or self.random.choice(self.installation.entries)
        attempt = Attempt(entry, anyio.current_time())
        job.attempts.append(attempt)
        deadline_ms = round(job.deadline_s * 1000)
        attempt.outcome, body = await self._request(
            attempt.entry,
            "POST",
            f"/stock/{job.job_id}",
            job.deadline_s + ANSWER_MARGIN_S,
            msgspec.json.encode(content),
            {"marigoldkeel-deadline-ms": str(deadline_ms)},
        )
        attempt.ended_at = anyio.current_time()
        if attempt.outcome == 200:
            attempt.state = msgspec.json.decode(body).get("state", "")
        return attempt

    async def _request(
        self,
        entry: Program,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int | str, bytes]:
        url, host = entry_url(entry, path)
        try:
            with anyio.fail_after(timeout_s):
                response = await self.pool.request(
                    method, url, headers={**host, **(headers or {})}, content=body
                )
            if response.status == NOT_ACCEPTED_STATUS:
                return NOT_CONNECTED, b""
            return response.status, response.content
        except TimeoutError:
            return TIMED_OUT, b""
        except httpcore.ConnectError:
            return NOT_CONNECTED, b""
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return CONNECTION_LOST, b""

    async def probe(self, entry: Program, prefix: str) -> Probe | None:
        """Ask an entry for a queue; return None if its reply does not show either."""
        sent_at = anyio.current_time()
        status, _ = await self._request(entry, "GET", prefix, 1.0)
        if status not in (200, 404):
            return None
        pid = entry.pid_at(sent_at)
        result = Probe(entry, prefix, sent_at, anyio.current_time(), status == 200, pid)
        self.probes.append(result)
        return result

    async def _send_probes(self) -> None:
        while not self.stopping:
            prefixes = sorted(self.installation.prefixes)
            for entry in self.installation.entries:
                await self.probe(entry, self.random.choice(prefixes))
            await anyio.sleep(PROBE_INTERVAL_S)


def job_content(job: SentJob, work_ms: int) -> dict:
    """Return the content of a job as the platform's clients send it."""
    task = {"work_ms": work_ms, "cpu": 1000, "fails": job.always_fails}
    step = {"count": job.tasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": work_ms}
    return {
        "spec": msgspec.json.encode(task).decode(),
        "steps": [step],
        "best_effort": True,
    }
