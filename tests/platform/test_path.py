"""End-to-end tests over loopback, with emulated platform services and runners."""

import asyncio
import select
import socket
import struct
import threading
import time

import anyio
import httpcore
import msgspec
import pytest

from emulator.sites import QUEUE_HOST, Site, route
from marigoldkeel.clocks import boot_time_s
from marigoldkeel.fleet import daemons
from marigoldkeel.fleet.messages import StartRuns
from marigoldkeel.fleet.settings import EvacuationSettings
from marigoldkeel.platform.plans import EVACUATION_PREFIX


pytestmark = pytest.mark.anyio
# Later than this after its last byte, a request may not end without an answer.
LOSS_SLACK_S = 0.2

# Steps that each wait for all earlier ones, and for 120,000 tasks in sum.
LINKED_STEPS = [
    {"count": 1_000 if number == 0 else 1, "after": list(range(number))}
    for number in range(120)
]


async def wait_for(condition, limit_s: float = 10.0) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


async def test_every_entry_completes_jobs():
    async with Site.open() as site:
        for entry in site.entries:
            status, content, _ = await site.request(
                entry, "POST", site.job_path(), site.job(count=5)
            )
            assert (status, content) == (200, {"state": "done"})
        assert len(site.started()) == 10


@pytest.mark.parametrize(
    "method, path, content, status",
    [
        ("POST", "/else/0000000000000001", {}, 404),
        ("POST", "/stock/short", {}, 404),
        ("POST", "/stock/0000000000000001", b"\xff", 400),
        ("POST", "/stock/0000000000000001", {"steps": []}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"count": 0}]}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"after": [0]}]}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{}], "spec": "x" * 4001}, 400),
        ("POST", "/stock/0000000000000001", b'{"steps":[' + b"{}," * 80_000, 400),
        ("POST", "/stock/0000000000000001", {"steps": LINKED_STEPS}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"estimate_ms": 5e9}]}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"estimate_ms": -1}]}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"anti_affinity": -1}]}, 400),
        ("POST", "/stock/0000000000000001", {"steps": [{"cpu": 2**32}]}, 400),
        ("GET", "/stock/0000000000000001", None, 410),
        ("DELETE", "/stock/0000000000000001", None, 410),
        ("PATCH", "/stock/0000000000000001", None, 405),
    ],
)
async def test_invalid_requests_get_an_error(method, path, content, status):
    async with Site.open(entries=1, workers=1) as site:
        answer = await site.request(site.entries[0], method, path, content)
        assert answer[0] == status
        assert answer[1]["error"]
        assert site.started() == []


@pytest.mark.parametrize(
    "fields",
    [
        {"best_effort": False},
        {"times": 3},
        {"step": {"gang": True}},
        {"step": {"persistent": True}},
        {"step": {"cpu": 99_000}},
        {"step": {"requires": "gpu"}},
    ],
)
async def test_jobs_with_unsupported_features_are_refused_and_not_run(fields):
    async with Site.open(entries=1, workers=1) as site:
        status, content, headers = await site.request(
            site.entries[0], "POST", site.job_path(), site.job(**fields)
        )
        assert status == 503
        assert content["error"]
        assert int(headers["retry-after"]) >= 1
        assert site.started() == []


async def test_job_without_room_is_refused_and_not_run():
    async with Site.open(entries=1, workers=1) as site:
        (entry,) = site.entries
        entry.guard.budget.capacity = entry.guard.budget.total + 100_000
        large = site.job(step={"count": 1_000})
        answer = await site.request(entry, "POST", site.job_path(), large)
        assert (answer[0], answer[1]["error"]) == (503, "memory is short")
        assert int(answer[2]["retry-after"]) >= 1
        assert site.started() == []
        small = await site.request(entry, "POST", site.job_path(), site.job())
        assert small[0] == 200
        assert entry.guard.budget.used == 0


async def test_waiting_jobs_are_counted():
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        async with anyio.create_task_group() as group:
            for _ in range(6):
                job = site.job(work_ms=400)
                group.start_soon(site.request, entry, "POST", site.job_path(), job)
            await wait_for(lambda: len(site.started()) == 4)
            status, content, _ = await site.request(entry, "GET", "/stock/")
        assert (status, content) == (200, {"pending": 2})


async def test_job_that_fails_in_every_attempt_is_reported_as_failed():
    async with Site.open(entries=1, workers=2) as site:
        status, content, _ = await site.request(
            site.entries[0], "POST", site.job_path(), site.job(task={"fails": True})
        )
        assert (status, content) == (200, {"state": "failed"})
        assert len(site.started()) == 3


async def test_job_cancelled_at_another_entry_stops():
    async with Site.open(entries=2, workers=1) as site:
        first, second = site.entries
        path = site.job_path()
        answers = []

        async def submit() -> None:
            job = site.job(work_ms=5000)
            answers.append(await site.request(first, "POST", path, job))

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await wait_for(lambda: site.started())
            assert (await site.request(second, "DELETE", path))[0] in (200, 410)
        assert answers[0][:2] == (200, {"state": "cancelled"})
        await wait_for(lambda: not site.agents[0].supervisor.runs)


@pytest.mark.parametrize("asked", [0, 1], ids=["owner", "other entry"])
async def test_request_that_arrives_after_its_jobs_cancellation_runs_nowhere(asked):
    # Guards against a cancelled job that runs (review/14): the entry that owned it told
    # no other one, and the request arrived once more elsewhere.
    async with Site.open(entries=3, workers=1) as site:
        path, job = site.job_path(), site.job(work_ms=3000)
        answers = []

        async def submit() -> None:
            answers.append(await site.request(site.entries[0], "POST", path, job))

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await wait_for(lambda: site.started())
            answer = await site.request(site.entries[asked], "DELETE", path)
            assert answer[0] == (200 if asked == 0 else 410)
        assert answers[0][1] == {"state": "cancelled"}
        started = list(site.started())
        for entry in site.entries[1:]:
            cancelled_ids = entry.scheduler.cancelled_ids.cancelled_at
            await wait_for(lambda ids=cancelled_ids: path[-16:] in ids, 2.0)
            answer = await site.request(entry, "POST", path, job)
            assert answer[:2] == (200, {"state": "cancelled"})
        assert site.started() == started


async def test_runs_of_a_disconnected_caller_are_stopped():
    async with Site.open(entries=1, workers=1) as site:
        with anyio.move_on_after(0.5):
            job = site.job(work_ms=5000)
            await site.request(site.entries[0], "POST", site.job_path(), job)
        assert site.started()
        await wait_for(lambda: not site.agents[0].supervisor.runs)


def send_and_leave(site: Site, entry, reset: bool) -> None:
    """Send a job and close the connection, while the event loop reads nothing."""
    host, port = entry.settings.callers.address.split(":")
    body = msgspec.json.encode(site.job(work_ms=300))
    head = (
        f"POST {site.job_path()} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\n"
        f"content-length: {len(body)}\r\nmarigoldkeel-deadline-ms: 1500\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + body)
        if reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.mark.parametrize("reset", [False, True])
async def test_nothing_starts_for_a_caller_that_left_before_its_request_was_read(reset):
    # Guards against a task that ran twice: an entry that had been paused started the
    # tasks of requests whose callers had submitted them to another entry meanwhile.
    async with Site.open(entries=1, workers=2) as site:
        (entry,) = site.entries
        placed = []
        send = entry.scheduler.send

        def record(worker, message, facts_at):
            placed.append(type(message))
            return send(worker, message, facts_at)

        entry.scheduler.send = record
        for _ in range(20):
            send_and_leave(site, entry, reset)
        await anyio.sleep(0.3)
        assert StartRuns not in placed
        assert site.started() == []
        answer = await site.request(entry, "POST", site.job_path(), site.job())
        assert answer[0] == 200


async def test_time_in_suspend_counts_as_waiting_time_of_callers(monkeypatch):
    # Guards against a task that ran twice: an entry whose machine had been suspended
    # started tasks of callers that had timed out meanwhile.
    suspended_s = 0.0
    monkeypatch.setattr(daemons, "boot_time_s", lambda: boot_time_s() + suspended_s)
    async with Site.open(entries=1, workers=1) as site:
        answers = []

        async def submit() -> None:
            job = site.job(work_ms=800)
            answers.append(
                await site.request(site.entries[0], "POST", site.job_path(), job)
            )

        async with anyio.create_task_group() as group:
            for _ in range(6):
                group.start_soon(submit)
            await wait_for(lambda: len(site.started()) == 4)
            suspended_s = 20.0
        assert [status for status, *_ in answers] == [504] * 6
        assert len(site.started()) == 4


async def test_changed_plan_is_in_force_on_all_entries():
    async with Site.open() as site:
        site.configure(route("stock", "/stock/"), route("quote", "/quote/"))
        await site.wait_until_ready()
        for entry in site.entries:
            job = site.job()
            answer = await site.request(entry, "POST", site.job_path("/quote/"), job)
            assert answer[0] == 200
        site.configure(route("quote", "/quote/"))
        await site.wait_until_ready()
        for entry in site.entries:
            answer = await site.request(entry, "POST", site.job_path(), site.job())
            assert answer[0] == 404


async def test_plan_reaches_an_entry_without_access_to_the_store():
    async with Site.open() as site:
        store = site.entries[1].store
        store.client.address = "127.0.0.1:9"
        site.configure(route("quote", "/quote/"))
        await site.wait_until_ready()


async def test_entry_started_during_a_store_outage_gets_the_state_from_peers():
    async with Site.open(entries=1, workers=2) as site:
        site.store.error_status = 503
        entry = site.add_entry("entry-late")
        await site.wait_until_ready()
        answer = await site.request(entry, "POST", site.job_path(), site.job())
        assert answer[0] == 200


async def test_agent_started_during_a_store_outage_is_discovered():
    async with Site.open(entries=2, workers=1) as site:
        site.store.error_status = 503
        await site.add_worker("agent-late")
        await site.wait_until_ready()


@pytest.mark.parametrize("restarted", [False, True])
async def test_evacuation_reaches_an_entry_without_access_to_the_store(restarted):
    async with Site.open(2, 1, evacuation=EvacuationSettings(5000)) as site:
        agent = await site.add_worker("agent-b", domain="b")
        await site.wait_until_ready()
        other = site.entries[1]
        other.store.client.address = "127.0.0.1:9"
        site.store.put(EVACUATION_PREFIX + "b", b"{}")
        await wait_for(lambda: agent.supervisor.evacuated)
        if restarted:
            site.store.error_status = 503
            other = site.add_entry("entry-late")
        await wait_for(lambda: other.controller and other.ready)
        await wait_for(lambda: other.report()["evacuations"]["domains"])
        job = site.job(3)
        assert (await site.request(other, "POST", site.job_path(), job))[0] == 200
        assert site.runners[1].worker.starts == []
        site.store.error_status = 0
        site.store.remove(EVACUATION_PREFIX + "b")
        await site.wait_until_ready()


async def test_agents_with_deleted_records_are_discovered_by_a_new_entry():
    async with Site.open(entries=1, workers=1) as site:
        site.store.revoke("marigoldkeel/")
        site.add_entry("entry-late")
        await site.wait_until_ready()


async def test_entry_without_a_plan_is_not_ready_and_refuses_jobs():
    async with Site.open(entries=1, workers=1) as site:
        site.store.silent = True
        site.entries.clear()
        entry = site.add_entry("entry-alone")
        await wait_for(lambda: entry.controller is not None)
        await anyio.sleep(0.2)
        answer = await site.request(entry, "POST", site.job_path(), site.job())
        assert answer[0] == 503
        assert not entry.ready


async def test_entry_without_workers_closes_its_callers_connections():
    # Guards against refused jobs: an entry that was disconnected from all agents kept
    # refusing jobs on its open connections for seconds, although the balancer routed no
    # new connections to it.
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        link = entry.links.links["agent-0"]
        job = site.job()
        _, _, headers = await site.request(entry, "POST", site.job_path(), job)
        assert "connection" not in headers
        # Simulates a pending connection attempt, which prevents a reconnect.
        link.connecting = True
        await link.connection.abort()
        await wait_for(lambda: not entry.ready)
        _, _, headers = await site.request(entry, "GET", "/stock/")
        assert headers["connection"] == "close"


async def test_planned_stop_of_an_entry_answers_requests_in_progress(monkeypatch):
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.1)
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        answers = []

        async def submit() -> None:
            job = site.job(work_ms=800)
            answers.append(await site.request(entry, "POST", site.job_path(), job))

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await wait_for(lambda: site.started())
            entry.stop()
            await anyio.sleep(0.05)
            assert not entry.ready
        assert answers[0][:2] == (200, {"state": "done"})
        assert answers[0][2].get("connection") == "close"
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            for _ in range(100):
                await site.request(entry, "GET", "/stock/")
                await anyio.sleep(0.05)


async def test_successor_of_a_stopped_agent_takes_over_its_runs():
    async with Site.open(entries=1, workers=1) as site:
        agent, entry = site.agents[0], site.entries[0]
        answers = []

        async def submit() -> None:
            job = site.job(work_ms=2500)
            answers.append(await site.request(entry, "POST", site.job_path(), job))

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await wait_for(lambda: site.started())
            stopped = anyio.Event()
            successor = daemons.FleetAgent(
                agent.settings, agent.store, agent.client, ""
            )

            async def replace() -> None:
                agent.stop()
                while agent.supervisor.leaving is False:
                    await anyio.sleep(0.01)
                await anyio.sleep(daemons.RUN_DRAIN_TIMEOUT_S + 0.3)
                stopped.set()
                await successor.run()

            group.start_soon(replace)
            await wait_for(lambda: answers)
            group.cancel_scope.cancel()
        assert answers[0][:2] == (200, {"state": "done"})
        assert len(site.started()) == 1


@pytest.mark.parametrize(
    "daemons_of, samples",
    [
        (
            lambda site: site.entries,
            [
                'marigoldkeel_job_seconds_count{outcome="done",queue="stock"} 1.0',
                'marigoldkeel_workers{state="ready"} 2',
                'marigoldkeel_agents{choice="chosen"} 2',
                "marigoldkeel_plan_version 2",
            ],
        ),
        (
            lambda site: site.agents,
            [
                'marigoldkeel_run_seconds_count{end="done"} 1.0',
                "marigoldkeel_worker_usable 1",
                "marigoldkeel_worker_free_cores 4.0",
            ],
        ),
    ],
)
async def test_metrics_count_jobs_and_runs(daemons_of, samples):
    async with Site.open(entries=1, workers=2, metrics=True) as site:
        # Two tasks, each of which takes the whole capacity of a worker.
        job = site.job(count=2, step={"cpu": 4000}, task={"cpu": 4000})
        await site.request(site.entries[0], "POST", site.job_path(), job)
        await wait_for(lambda: not any(agent.supervisor.runs for agent in site.agents))
        lines = []
        for daemon in daemons_of(site):
            response = await site.pool.request(
                "GET", f"http://{daemon.settings.metrics}/metrics"
            )
            lines += response.content.decode().splitlines()
        for sample in samples:
            assert lines.count(sample) == len(daemons_of(site)), lines


async def test_jobs_that_arrive_until_the_end_of_a_planned_stop_are_answered(
    monkeypatch,
):
    # Guards against an internal error in response to a job that arrives on an open
    # connection at the very end of the planned stop.
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.1)
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        entry.settings.grace_s = 2.0
        statuses = []
        entry.stop()
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            while True:
                await anyio.sleep(0.03)
                job = site.job(work_ms=60)
                answer = await site.request(entry, "POST", site.job_path(), job)
                statuses.append(answer[0])
                assert len(statuses) < 1000
        assert set(statuses) <= {200, 503}


async def test_job_accepted_during_a_planned_stop_may_take_longer_than_forecast(
    monkeypatch,
):
    # Guards against a job that was accepted until its forecast just fitted, and cut off
    # by the end of the planned stop.
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.1)
    monkeypatch.setattr(daemons, "EXIT_MARGIN_S", 0.0)
    answers = []
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        entry.settings.grace_s = 1.5

        async def submit(work_ms: int) -> None:
            job = site.job(work_ms=400, task={"work_ms": work_ms})
            answers.append(await site.request(entry, "POST", site.job_path(), job))

        entry.stop()
        async with anyio.create_task_group() as group:
            # The first job keeps the entry running; the forecast of the second would
            # leave 0.2 s until the end of the stop.
            group.start_soon(submit, 1000)
            await anyio.sleep(0.9)
            await submit(700)
        assert [status for status, *_ in answers] == [503, 200]
        assert len(site.started()) == 1


@pytest.mark.parametrize("work_ms, status", [(50, 200), (5000, 503)])
async def test_stopping_entry_refuses_jobs_that_cannot_end_in_time(work_ms, status):
    async with Site.open(entries=1, workers=1) as site:
        entry = site.entries[0]
        entry.settings.grace_s = 3.0
        entry.stop()
        job = site.job(work_ms=work_ms)
        answer = await site.request(entry, "POST", site.job_path(), job)
        assert answer[0] == status
        assert len(site.started()) == (status == 200)


class LateCallers:
    """Connections on each of which a thread sends one job, one after the other.

    :ivar lost: How long after its job was sent each connection ended without an answer.
    """

    INTERVAL_S = 0.01

    def __init__(self, site: Site, entry, number: int, keeps_open: bool):
        host, port = entry.settings.callers.address.split(":")
        self.address = (host, int(port))
        self.requests = []
        for _ in range(number):
            body = msgspec.json.encode(site.job(work_ms=10))
            head = (
                f"POST {site.job_path()} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            self.requests.append(head.encode() + body)
        self.open = [self.connect() for _ in self.requests] if keeps_open else []
        self.answered = 0
        self.lost = []

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address)

    def run(self) -> None:
        """Send until the entry has ended all connections or accepts no more."""
        sent_at = {}
        try:
            for request in self.requests:
                try:
                    connection = self.open.pop() if self.open else self.connect()
                    connection.sendall(request)
                except OSError:
                    break
                sent_at[connection] = time.monotonic()
                self.receive(sent_at, self.INTERVAL_S)
            while sent_at:
                self.receive(sent_at, 1.0)
        finally:
            for connection in (*sent_at, *self.open):
                connection.close()

    def receive(self, sent_at: dict, timeout_s: float) -> None:
        until = time.monotonic() + timeout_s
        while sent_at and (left_s := until - time.monotonic()) > 0:
            for connection in select.select(list(sent_at), [], [], left_s)[0]:
                try:
                    answer = connection.recv(65536)
                except ConnectionError:
                    answer = b""
                waited_s = time.monotonic() - sent_at.pop(connection)
                connection.close()
                # 504: the job had begun and was abandoned at the end of the stop.
                if answer[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 503", b"HTTP/1.1 504"):
                    self.answered += 1
                else:
                    self.lost.append(waited_s)
        if not sent_at:
            time.sleep(max(0.0, until - time.monotonic()))


@pytest.mark.parametrize("keeps_open", [True, False])
@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.25])
async def test_planned_stop_answers_requests_that_a_late_event_loop_has_not_read(
    monkeypatch, late_s, keeps_open
):
    # Guards against connections closed with requests unread that were sent more than
    # 0.2 s before, when the event loop was late at the end of a planned stop.
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.1)
    async with Site.open(entries=1, workers=1) as site:
        (entry,) = site.entries
        entry.settings.grace_s = 2.0
        callers = LateCallers(site, entry, 300, keeps_open)
        thread = threading.Thread(target=callers.run)

        def delay_event_loop() -> None:
            if thread.is_alive():
                time.sleep(late_s)
                loop.call_soon(delay_event_loop)

        entry.stop()
        await wait_for(lambda: entry.closing)
        thread.start()
        loop = asyncio.get_running_loop()
        loop.call_soon(delay_event_loop)
        await wait_for(lambda: not thread.is_alive(), 60.0)
    assert callers.answered
    assert [waited_s for waited_s in callers.lost if waited_s > LOSS_SLACK_S] == []
