"""A stand-in for a runner, as PROTOCOL.md describes it.

A task's ``spec`` is "work_ms=N": it works for N ms and ends `done`.
"""

import asyncio
import json
import random
import time

import rig_web as web
from rig_record import Record


MAX_HOLD_MS = 1000
STOP_S = 0.02
CHECK_S = 0.01
HEARTBEAT_S = 1.5
# What a draining runner says of the time that is left.
REMAINING_MS = 2000


class Run:
    """A run of a task."""

    def __init__(self, number: int, spec: str, now: float):
        self.number = number
        self.work_s = int(spec.removeprefix("work_ms=")) / 1000
        self.started_at = now
        self.stopping = False


class Runner:
    """One boot of a runner.

    :ivar lost_share: The share of starts and stops that get no answer and are carried
        out ``late_s`` later; 0 without a disruption.
    :ivar down: Whether it is down.
    :ivar draining_acknowledged_at: When its agent first confirmed that it drains.
    """

    def __init__(self, name: str, address: str, control: str, domain: str, record):
        self.name = name
        self.address = address
        self.control = control
        self.domain = domain
        self.record: Record = record
        self.capacity = {"cpu": 64_000, "mem_mb": 262_144, "gpus": 0}
        self.labels = ["a", "r1-1"]
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.until_ms = 0
        self.fence = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.finished: list[list] = []
        self.next_end = 1
        self.ended = asyncio.Event()
        self.lost_share = 0.0
        self.late_s = (2.0, 12.0)
        self.random = random.Random(0)
        self.down = False
        self.state = "ready"
        self.draining_acknowledged_at: float | None = None
        self.orders = 0
        self.lost = 0

    @property
    def clock_ms(self) -> int:
        """The runner's own steady clock."""
        return int((time.monotonic() - self.began) * 1000)

    async def open(self, service: str) -> None:
        """Take calls and send status reports."""
        host, _, port = self.address.rpartition(":")
        await web.serve(host, int(port), self.handle)
        self.tasks = [
            asyncio.create_task(self._work_forever()),
            asyncio.create_task(self._report_forever(service)),
        ]

    async def _work_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if now - run.started_at >= run.work_s:
                    self._end(task, "done")
            if self.clock_ms >= self.until_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")

    async def _report_forever(self, service: str) -> None:
        self.seq = 0
        while True:
            if self.down:
                await asyncio.sleep(CHECK_S)
                continue
            self.seq += 1
            report = {
                "service": service,
                "addr": self.address,
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "seq": self.seq,
                "born": self.born,
            }
            if self.state == "draining":
                report["remaining_ms"] = REMAINING_MS
            try:
                status, _ = await web.call(
                    self.control, "PUT", f"/api/instances/{self.name}", {}, report
                )
                if status == 200 and report["state"] == "draining":
                    self.draining_acknowledged_at = (
                        self.draining_acknowledged_at or self.record.now
                    )
                await asyncio.sleep(HEARTBEAT_S)
            except (ConnectionError, OSError, TimeoutError):
                await asyncio.sleep(0.2)

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.highest[task] = max(run.number, self.highest.get(task, 0))
        self.finished.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.record.ended(self.name, task, run.number, how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.down:
            raise web.Refuse
        instance = headers.get("marigoldkeel-expect-instance", self.name)
        if instance != self.name:
            return 421, {}
        content = json.loads(body)
        order = {
            "/api/run-start": self._start,
            "/api/run-stop": self._stop,
            "/api/hold": self._hold,
        }.get(path)
        if order is None:
            return 404, {}
        # A hold carries no order, and is answered.
        is_order = path != "/api/hold"
        self.orders += is_order
        if is_order and self.random.random() < self.lost_share:
            self.lost += 1
            late_s = self.random.uniform(*self.late_s)
            asyncio.create_task(self._carry_out_late(order, content, late_s))
            raise web.NoAnswer
        return await order(content, False)

    async def _carry_out_late(self, order, content, late_s: float) -> None:
        born = self.born
        await asyncio.sleep(late_s)
        if self.born == born and not self.down:
            await order(content, True)

    def _answer(self, status: int, **content):
        return status, {"clock_ms": self.clock_ms, "born": self.born, **content}

    def _check_fence(self, content) -> bool:
        fence = content.get("fence", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend(self, content) -> None:
        until_ms = min(content.get("until_ms", 0), self.clock_ms + MAX_HOLD_MS)
        self.until_ms = max(self.until_ms, until_ms)

    async def _start(self, content, late):
        task, number = content["task"], content["run"]
        if not self._check_fence(content):
            return self._answer(409, reason="fence")
        if content["until_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(content)
        run = self.running.get(task)
        if run is not None and run.number == number:
            return self._answer(200)
        if number <= self.highest.get(task, 0) or run is not None:
            return self._answer(409, reason="old")
        self.running[task] = Run(number, content["spec"], time.monotonic())
        self.record.started(self.name, task, number, content["spec"], late)
        return self._answer(200)

    async def _stop(self, content, late):
        if not self._check_fence(content):
            return self._answer(409, reason="fence")
        task, number = content["task"], content["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end_stopped, task, run)
        return self._answer(200)

    def _end_stopped(self, task: str, run: Run) -> None:
        if self.running.get(task) is run:
            self._end(task, "stopped")

    async def _hold(self, content, late):
        if not self._check_fence(content):
            return self._answer(409, reason="fence")
        if "until_ms" in content:
            self._extend(content)
        last_seen = content.get("last_seen", 0)
        if not late:
            self.finished = [row for row in self.finished if row[0] > last_seen]
        end = time.monotonic() + content.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < end:
            ended = self.ended
            try:
                async with asyncio.timeout(max(0.001, end - time.monotonic())):
                    await ended.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [
                task,
                run.number,
                "",
                min(99, int(100 * (now - run.started_at) / run.work_s)),
                1.0,
            ]
            for task, run in self.running.items()
        ]
        return self._answer(200, running=running, finished=self.finished[:500])
