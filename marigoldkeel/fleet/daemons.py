"""The entry and the agent of a fleet: assembly, start and planned stop of the daemons.

The adapters of external systems (the store, the worker and the HTTP applications) are
injected, so that this module does not depend on a particular platform.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from typing import Any

import anyio
from aioprometheus.collectors import Histogram
from anyio.abc import TaskGroup
from loguru import logger

from marigoldkeel.client_guard import ClientGuard
from marigoldkeel.client_limits import DEFAULT_LIMITS, ClientLimits
from marigoldkeel.clocks import boot_time_s
from marigoldkeel.exceptions import ProtocolError, SettingsError
from marigoldkeel.fleet.cancellations import CancellationForwarder
from marigoldkeel.fleet.cancelled import CANCELLED_MEMORY_S
from marigoldkeel.fleet.directory import Directory, DirectoryController
from marigoldkeel.fleet.drivers import WorkerClient, WorkerDriver
from marigoldkeel.fleet.evacuations import EvacuatedDomains
from marigoldkeel.fleet.following import EVACUATION_DELAY_S, PlanFollower
from marigoldkeel.fleet.lateness import LoopLateness
from marigoldkeel.fleet.links import (
    MAX_LINK_SILENCE_S,
    AgentEndpoint,
    OwnerEndpoint,
)
from marigoldkeel.fleet.messages import Announce, DropJob
from marigoldkeel.fleet.metrics import (
    AGENT_METRICS,
    ENTRY_METRICS,
    JobDurations,
    RunDurations,
)
from marigoldkeel.fleet.plans import Plan
from marigoldkeel.fleet.pulls import News
from marigoldkeel.fleet.schedulers import Scheduler
from marigoldkeel.fleet.settings import FleetSettings
from marigoldkeel.fleet.status import agent_report, entry_report
from marigoldkeel.fleet.supervisors import Supervisor
from marigoldkeel.fleet.views import FleetView
from marigoldkeel.guards import repeat_guarded, run_guarded
from marigoldkeel.identifiers import mint_incarnation, wall_clock_ms
from marigoldkeel.messages import Done, Pull
from marigoldkeel.metrics import Metric, add_metrics_route
from marigoldkeel.models import Member
from marigoldkeel.servers import HttpApplication, Request, Response, serve_http
from marigoldkeel.stores import LeasedStore
from marigoldkeel.transports import PeerPool, parse_address, serve_peers


DRAIN_POLL_INTERVAL_S = 0.02
# The balancer checks readiness once a second and removes an entry after two failures.
BALANCER_DELAY_S = 2.4
# Interval at which the lateness of the event loop is looked at.
LATENESS_INTERVAL_S = 0.25
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.5
# Time for the last cancellations to be handed over, a part of the exit margin.
LAST_HAND_OVER_S = 0.25
# How long a cancellation waits until another entry has confirmed it, and for how long
# for all of them: entries that end now, or cannot be reached, do not answer. By the end
# of the longer time an entry that is cut off has noticed that its links are silent.
CONFIRM_CANCELLATION_S = MAX_LINK_SILENCE_S + 0.1
ALL_CONFIRM_CANCELLATION_S = 0.25
# How much longer than forecast a job may take that is accepted during a planned stop.
FORECAST_MARGIN_S = 0.3
# Time for the last responses to be sent.
RESPONSE_FLUSH_S = 0.05
# How long a stopping agent waits for its worker's runs to end. A successor takes over
# the remaining runs, so a longer wait would only leave the worker idle.
RUN_DRAIN_TIMEOUT_S = 0.6


class FleetDaemon:
    """Base class of `FleetEntry` and `FleetAgent`.

    :cvar is_agent: Whether the daemon manages a worker.
    """

    is_agent = False

    def __init__(
        self, settings: FleetSettings, store: LeasedStore, settings_path: str = ""
    ):
        self.settings = settings
        self.settings_path = settings_path
        self.store = store
        self.clock: Callable[[], float] = time.monotonic
        self.own_member = Member(
            settings.name,
            mint_incarnation(settings.name),
            settings.advertise or settings.listen,
            settings.domain,
        )
        self.stopping = anyio.Event()
        self.stop_deadline = float("inf")
        self.guard = ClientGuard.from_limits(
            settings.limits.memory_mb, settings.limits.max_descriptors
        )
        self.servers: list[tuple[str, HttpApplication]] = []
        self.directory: Directory | None = None
        self.controller: DirectoryController | None = None

    def serve_metrics(self, metrics: Iterable[Metric], histogram: Histogram) -> None:
        """Serve metrics if the settings contain an address for them."""
        if self.settings.metrics:
            application = HttpApplication()
            add_metrics_route(application, self, metrics, [histogram])

            @application.route("GET", "/v1/status")
            async def status(request: Request) -> Response:
                return Response.from_json(self.report())

            self.servers.append((self.settings.metrics, application))

    @property
    def store_calls(self) -> Counter[str]:
        """The number of calls to the store, by kind."""
        return self.store.counts

    def report(self) -> dict[str, Any]:
        """Return the status report of this daemon."""
        raise NotImplementedError

    async def run(self) -> None:
        """Run until `stop` is called and the work in progress has been drained."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.store.aclose)
            self.peers = await stack.enter_async_context(
                PeerPool.open(self.outgoing_listener())
            )
            async with anyio.create_task_group() as group:
                self.build_components(group)
                await group.start(
                    serve_peers,
                    self.settings.listen,
                    self.handle,
                    self.peers.counters,
                    self.incoming_listener(),
                    self.guard,
                )
                for address, application in self.servers:
                    host, port = parse_address(address)
                    await group.start(serve_http, application, host, port, self.guard)
                logger.bind(
                    client_bytes=self.guard.budget.capacity,
                    max_connections=self.guard.max_connections,
                    follows_evacuations=self.settings.evacuation is not None,
                ).info("started as {}", self.own_member.incarnation)
                self.start(group)
                await self.stopping.wait()
                await self.drain()
                logger.info("stopped")
                group.cancel_scope.cancel()

    def stop(self) -> None:
        """Initiate a planned stop."""
        if not self.stopping.is_set():
            self.stop_deadline = self.clock() + self.settings.grace_s - EXIT_MARGIN_S
            logger.info("planned stop begins")
            self.stopping.set()

    def reload(self) -> None:
        """Reread the settings file and apply the addresses of other entries (seeds).

        All other changes require a restart; they are named in the log. An invalid file
        is ignored.
        """
        try:
            settings = FleetSettings.from_toml(self.settings_path)
        except SettingsError as error:
            logger.warning("settings not reloaded: {}", error)
            return
        not_applied = [
            name
            for name in FleetSettings.__struct_fields__
            if name != "seeds"
            and getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings.seeds = settings.seeds
        if self.controller is not None:
            self.controller.seeds = settings.seeds
        logger.bind(changed_but_not_applied=not_applied).info(
            "settings reloaded: {} seeds", len(settings.seeds)
        )

    def outgoing_listener(self) -> Any:
        """Return the listener for connections that this daemon opens."""
        return None

    def incoming_listener(self) -> Any:
        """Return the listener for connections that other daemons open."""
        return None

    def make_controller(self, group: TaskGroup, **callbacks) -> DirectoryController:
        """Create the controller of the directory.

        :param callbacks: Optional callbacks of `DirectoryController`.
        """
        return DirectoryController(
            self.directory,
            self.store,
            self.peers,
            group,
            self.settings.seeds,
            self.is_agent,
            self.clock,
            **callbacks,
        )

    def build_components(self, group: TaskGroup) -> None:
        """Create the components that need the connection pool and the task group."""
        raise NotImplementedError

    def start(self, group: TaskGroup) -> None:
        """Start the background loops of the components."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish the work in progress during a planned stop."""
        raise NotImplementedError

    async def handle(self, message: Any, peer: str) -> Any:
        """Handle a message that the connection listener did not handle.

        :return: The reply, or None if there is none.
        :raises ProtocolError: If the daemon does not support the message.
        """
        raise ProtocolError(f"no {type(message).__name__} is taken here", "receive")


class FleetEntry(FleetDaemon):
    """Accepts jobs from callers and owns them until they are answered.

    :param plan_key: Key of the operators' plan in the store.
    :param decode_plan: Decodes the stored plan.
    :param evacuation_prefix: Prefix of the keys of evacuated domains in the store.
    :param plan_store: Client with which the plan is followed, in a thread of its own.
    """

    def __init__(
        self,
        settings: FleetSettings,
        store: LeasedStore,
        plan_key: str,
        decode_plan: Callable[[bytes], Plan],
        settings_path: str = "",
        evacuation_prefix: str = "",
        plan_store: LeasedStore | None = None,
    ):
        super().__init__(settings, store, settings_path)
        self.plan_store = plan_store
        self.plan_key = plan_key
        self.decode_plan = decode_plan
        self.evacuation_prefix = evacuation_prefix
        self.evacuations = EvacuatedDomains()
        self.fleet = FleetView(self.evacuations)
        self.links = OwnerEndpoint(
            self.own_member, self.fleet, boot_time_s, self.count_entries
        )
        self.scheduler = Scheduler(
            self.fleet,
            settings.domain,
            self.links.send,
            boot_time_s,
            wall_clock_ms,
            packing=settings.placement.packing,
            entries_per_worker=self.links.entries_per_agent,
            connect_workers=self.links.connect_workers,
            look_ahead=settings.placement.look_ahead,
            finds_workers=self.links.finds_workers,
            continue_soon=self.links.continue_scheduling,
            overload=settings.overload.policy,
            capacity=settings.overload.capacity,
        )
        self.links.scheduler = self.scheduler
        self.evacuations.on_update = self.links.update_evacuations
        self.job_durations = JobDurations()
        self.scheduler.on_answer = self.job_durations.observe
        self.serve_metrics(ENTRY_METRICS, self.job_durations.histogram)
        self.lateness = LoopLateness()
        self.leaving = False
        self.closing = False
        self.in_progress = 0

    @property
    def plan(self) -> Plan | None:
        """The operators' plan in force."""
        return self.follower.plan

    @property
    def store_calls(self) -> Counter[str]:
        return Counter(self.store.counts) + Counter(self.plan_store.counts)

    @property
    def client_limits(self) -> ClientLimits:
        """The limits on requests of callers."""
        return self.plan.limits if self.plan is not None else DEFAULT_LIMITS

    @property
    def ready(self) -> bool:
        """Whether the balancer should route callers to this entry."""
        return not self.leaving and self.plan is not None and self.links.connected > 0

    @property
    def closes_connections(self) -> bool:
        """Whether responses close the connection, so that callers reconnect elsewhere.

        The balancer only routes new connections; callers keep using open ones. During a
        planned stop, connections are kept until the balancer has removed this entry.
        """
        return self.closing if self.leaving else not self.ready

    def outgoing_listener(self) -> OwnerEndpoint:
        return self.links

    def build_components(self, group: TaskGroup) -> None:
        self.group = group
        self.links.peers = self.peers
        self.links.group = group
        self.cancellations = CancellationForwarder(self.peers, group, self.clock)
        self.follower = PlanFollower(
            self.plan_store,
            self.peers,
            self.plan_key,
            self.decode_plan,
            self.evacuations if self.settings.evacuation is not None else None,
            self.evacuation_prefix,
            self.lateness,
        )
        self.directory = Directory(
            self.own_member,
            self.links.add,
            self.links.remove,
            self.links.describe,
            on_entry_added=lambda member: self.cancellations.discover(member.address),
        )
        self.controller = self.make_controller(
            group,
            plan_version=lambda: self.follower.version,
            is_alive=self._is_connected,
            evacuation_revision=lambda: self.follower.evacuation_revision,
            evacuation_changes=lambda: self.follower.evacuation_changes,
        )

    def start(self, group: TaskGroup) -> None:
        for step, loop in (
            ("schedule", self.links.run_forever),
            ("follow plan", self.follower.run_forever),
            ("record lateness", self._record_lateness),
            ("ask other entries", self._ask_entries),
        ):
            group.start_soon(repeat_guarded, step, loop)
        group.start_soon(self.controller.run_forever)
        evacuation = self.settings.evacuation
        if evacuation is not None and evacuation.within_ms < 1000 * EVACUATION_DELAY_S:
            logger.warning(
                "an evacuation may take {} s, longer than evacuation.within_ms",
                EVACUATION_DELAY_S,
            )

    async def _ask_entries(self) -> None:
        await self.follower.ask_peers_forever(self.controller.announce_addresses)

    async def _record_lateness(self) -> None:
        while True:
            due_at = self.clock() + LATENESS_INTERVAL_S
            await anyio.sleep(LATENESS_INTERVAL_S)
            self.lateness.record(due_at, self.clock())

    def count_entries(self) -> int:
        """Return the number of known entries, including this one."""
        others = self.directory.entries() if self.directory is not None else []
        return 1 + len(others)

    def report(self) -> dict[str, Any]:
        return entry_report(self)

    def _is_connected(self, name: str) -> bool:
        link = self.links.links.get(name)
        return link is not None and link.connection is not None

    async def handle(self, message: Any, peer: str) -> Any:
        if isinstance(message, Announce):
            self.controller.receive(message)
            if not message.is_agent:
                await self.follower.receive_news(
                    message.member.address,
                    News(message.plan_version, message.evacuation_revision),
                )
            return None
        if isinstance(message, Pull):
            return self.follower.answer(message)
        if isinstance(message, DropJob):
            self._drop_job(message)
            return Done()
        return await super().handle(message, peer)

    def cancel_on_other_entries(self, job_id: str) -> bool:
        """Forward the cancellation of a job to all other entries.

        :return: False if this entry has stopped, so that it may not be confirmed.
        """
        if self.cancellations.closed:
            return False
        self.cancellations.forward(job_id, self._entry_addresses())
        return True

    async def confirm_cancellation(self, job_id: str) -> bool:
        """Cancel a job here and elsewhere; return whether that may be confirmed.

        Its owner confirms at once, and so does an entry that knows no other. Any other
        entry waits until others have confirmed. If none does, the fault is with them as
        long as agents answer this entry, and they are told once they answer again. An
        entry that stops waits until another one has taken the cancellation over.
        """
        is_owner = self.scheduler.cancel(job_id)
        addresses = self._entry_addresses()
        if not self.cancel_on_other_entries(job_id):
            return False
        if not addresses:
            return True
        position = self.cancellations.log.positions[job_id]
        if self.leaving:
            return await self.cancellations.wait_until_taken_over(
                position, CONFIRM_CANCELLATION_S
            )
        if is_owner or await self.cancellations.wait_until_confirmed(
            position, addresses, ALL_CONFIRM_CANCELLATION_S, CONFIRM_CANCELLATION_S
        ):
            return True
        return any(view.connected for view in self.fleet.workers.values())

    def _entry_addresses(self) -> list[str]:
        return [daemon.member.address for daemon in self.directory.entries()]

    def _drop_job(self, message: DropJob) -> None:
        """Cancel a job and, if another entry hands the cancellation over, keep it."""
        keep_s = message.keep_ms / 1000
        if keep_s and self.cancellations.closed:
            raise ProtocolError("this entry has stopped", "hand over a cancellation")
        self.scheduler.cancel(message.job_id)
        if keep_s and message.forward:
            self.cancellations.forward(
                message.job_id, self._entry_addresses(), min(keep_s, CANCELLED_MEMORY_S)
            )
        elif keep_s:
            self.cancellations.keep(message.job_id, min(keep_s, CANCELLED_MEMORY_S))

    async def drain(self) -> None:
        """Leave the balancer's rotation, then answer the requests in progress.

        Cancellations are handed over meanwhile, and the last ones before the exit.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(
                run_guarded,
                "hand over cancellations",
                self.cancellations.hand_over_repeatedly,
                self._entry_addresses,
                self.stop_deadline,
            )
            await self._answer_requests()
            group.cancel_scope.cancel()
        deadline = max(self.stop_deadline, self.clock() + LAST_HAND_OVER_S)
        await self.cancellations.hand_over(self._entry_addresses(), deadline)

    async def _answer_requests(self) -> None:
        self.leaving = True
        self.controller.leaving = True
        remaining_s = self.stop_deadline - self.clock()
        self.scheduler.shutdown_at = (
            self.scheduler.clock() + remaining_s - FORECAST_MARGIN_S
        )
        await anyio.sleep(BALANCER_DELAY_S)
        self.closing = True
        idle_at = self.clock() + RESPONSE_FLUSH_S
        while idle_at > self.clock() < self.stop_deadline:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            if self.in_progress:
                idle_at = self.clock() + RESPONSE_FLUSH_S
        # Jobs that still arrive on open connections are refused from now on.
        self.scheduler.shutdown_at = self.scheduler.clock()
        for owned in list(self.scheduler.jobs.values()):
            self.scheduler.abandon(owned, "the entry stops")
        await anyio.sleep(RESPONSE_FLUSH_S)


class FleetAgent(FleetDaemon):
    """Manages one worker and executes the owners' orders on it."""

    is_agent = True

    def __init__(
        self,
        settings: FleetSettings,
        store: LeasedStore,
        client: WorkerClient,
        settings_path: str = "",
    ):
        super().__init__(settings, store, settings_path)
        self.client = client
        self.supervisor = Supervisor(self.clock, boot_time_s, settings.domain)
        self.run_durations = RunDurations()
        self.supervisor.on_run_end = self.run_durations.observe
        self.serve_metrics(AGENT_METRICS, self.run_durations.histogram)
        self.links = AgentEndpoint(
            self.supervisor, self.flush, boot_time_s, settings.name
        )
        self.driver: WorkerDriver | None = None

    def incoming_listener(self) -> AgentEndpoint:
        return self.links

    def flush(self) -> None:
        self.driver.flush()

    def report(self) -> dict[str, Any]:
        return agent_report(self)

    def build_components(self, group: TaskGroup) -> None:
        self.driver = WorkerDriver(
            self.supervisor, self.client, self.links.deliver, group
        )
        self.directory = Directory(self.own_member)
        self.controller = self.make_controller(
            group,
            is_discovered=lambda: bool(self.links.links),
            describe_worker=lambda: self.supervisor.facts,
        )

    def start(self, group: TaskGroup) -> None:
        group.start_soon(repeat_guarded, "poll", self.driver.poll_forever)
        group.start_soon(repeat_guarded, "tick", self.driver.tick_forever)
        group.start_soon(self.controller.run_forever)

    async def handle(self, message: Any, peer: str) -> Any:
        if isinstance(message, Announce):
            self.controller.receive(message)
            return None
        return await super().handle(message, peer)

    async def drain(self) -> None:
        """Refuse new runs, wait for short ones and leave the others to a successor."""
        self.controller.leaving = True
        self.supervisor.leaving = True
        self.driver.flush()
        drain_deadline = self.clock() + RUN_DRAIN_TIMEOUT_S
        while self.supervisor.runs and self.clock() < drain_deadline:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.driver.finish()
