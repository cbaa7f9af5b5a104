"""Metrics of a daemon in the Prometheus text format at ``GET /metrics``.

Values are read from the blackboard and the counters of a daemon on each scrape, so
only the request histogram adds work to requests.
"""

import re
import time
from collections import Counter as Tally
from collections.abc import Callable, Iterable
from pathlib import Path
from resource import getpagesize

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

from marigoldkeel.models import Outcome, Priority
from marigoldkeel.servers import HttpApplication, Request, Response


# The lowest bound is a fifth of the duration of the shortest tasks, the highest is the
# longest deadline.
REQUEST_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60, 300)
WORD_BOUNDARY = re.compile(r"(?<!^)(?=[A-Z])")
STATM_PATH = Path("/proc/self/statm")
STATM_RESIDENT_FIELD = 1

Labels = dict[str, str]
Samples = Iterable[tuple[Labels, float]]


class Metric:
    """A metric whose samples are computed on each scrape.

    :param read: Takes the daemon and returns a number, or pairs of labels and number.
    """

    __slots__ = ("collector_type", "name", "help", "read")

    def __init__(
        self,
        collector_type: type[Collector],
        name: str,
        help_text: str,
        read: Callable,
    ):
        self.collector_type = collector_type
        self.name = name
        self.help = help_text
        self.read = read

    def add_to(self, registry: Registry, daemon) -> None:
        """Register a collector with the current samples."""
        collector = self.collector_type(self.name, self.help, registry=registry)
        samples = self.read(daemon)
        if isinstance(samples, int | float):
            samples = [({}, samples)]
        for labels, value in samples:
            collector.set(labels, value)


def labelled_samples(label: str, values: dict[str, float]) -> Samples:
    """Return one sample per item of ``values``, with the key as the label's value."""
    return [({label: key}, value) for key, value in sorted(values.items())]


def snake_case(name: str) -> str:
    """Convert a class name to snake case, for use as a label value."""
    return WORD_BOUNDARY.sub("_", name).lower()


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return int(STATM_PATH.read_text().split()[STATM_RESIDENT_FIELD]) * getpagesize()


def live_peers(daemon) -> Samples:
    """Return the number of peers that are not suspected to have failed, by role."""
    peers = daemon.board.peers
    now = daemon.board.clock()
    roles = Tally(
        "agent" if state.is_agent else "entry"
        for state in peers.states.values()
        if now - state.heard_at <= peers.suspect_after_s
    )
    return labelled_samples("role", {"agent": 0, "entry": 0, **roles})


def partitions_by_phase(agent) -> Samples:
    """Return the number of partitions the agent is a member of, by role and phase."""
    phases = Tally(
        ("primary" if register.is_primary else "standby", register.phase.value)
        for register in agent.board.registers.values()
    )
    return [
        ({"role": role, "phase": phase}, count)
        for (role, phase), count in sorted(phases.items())
    ]


def queued_by_class(agent) -> Samples:
    """Return the number of queued tasks by priority class."""
    depths = agent.queue.depth_by_priority()
    return labelled_samples(
        "class", {key.name.lower(): depth for key, depth in depths.items()}
    )


COMMON_METRICS = (
    Metric(
        Gauge,
        "marigoldkeel_configuration_revision",
        "Revision of the configuration in force.",
        lambda daemon: daemon.board.configuration.revision,
    ),
    Metric(
        Gauge,
        "marigoldkeel_table_revision",
        "Store revision up to which the partition table is known.",
        lambda daemon: daemon.board.partitions.version,
    ),
    Metric(
        Gauge,
        "marigoldkeel_known_partitions",
        "Partitions whose record is known.",
        lambda daemon: len(daemon.board.partitions.records),
    ),
    Metric(
        Gauge,
        "marigoldkeel_live_peers",
        "Peers heard from recently, by role.",
        live_peers,
    ),
    Metric(
        Gauge,
        "marigoldkeel_leaving",
        "1 during a planned stop.",
        lambda daemon: int(daemon.board.leaving),
    ),
    Metric(
        Counter,
        "marigoldkeel_events_total",
        "Refusals, swaps, drops and other events, by name.",
        lambda daemon: labelled_samples("event", daemon.board.events),
    ),
    Metric(
        Counter,
        "marigoldkeel_messages_sent_total",
        "Messages sent to other daemons, by type.",
        lambda daemon: labelled_samples(
            "type",
            {
                snake_case(name): count
                for name, count in daemon.peers.counters.by_type.items()
            },
        ),
    ),
    Metric(
        Counter,
        "marigoldkeel_frames_sent_total",
        "Frames sent to other daemons.",
        lambda daemon: daemon.peers.counters.frames_sent,
    ),
    Metric(
        Counter,
        "marigoldkeel_bytes_sent_total",
        "Bytes sent to other daemons.",
        lambda daemon: daemon.peers.counters.bytes_sent,
    ),
    Metric(
        Counter,
        "marigoldkeel_messages_received_total",
        "Messages received from other daemons.",
        lambda daemon: daemon.peers.counters.messages_received,
    ),
    Metric(
        Counter,
        "marigoldkeel_bytes_received_total",
        "Bytes received from other daemons.",
        lambda daemon: daemon.peers.counters.bytes_received,
    ),
    Metric(
        Counter,
        "marigoldkeel_store_calls_total",
        "Calls to the store, opened watches included, by type.",
        lambda daemon: labelled_samples("type", daemon.store.counts),
    ),
    Metric(
        Counter,
        "process_cpu_seconds_total",
        "Processor time of this process in seconds.",
        lambda daemon: time.process_time(),
    ),
    Metric(
        Gauge,
        "process_resident_memory_bytes",
        "Resident memory of this process in bytes.",
        lambda daemon: resident_bytes(),
    ),
)
AGENT_METRICS = (
    *COMMON_METRICS,
    Metric(
        Gauge,
        "marigoldkeel_queue_tasks",
        "Tasks in the agent's queue, by class.",
        queued_by_class,
    ),
    Metric(
        Gauge,
        "marigoldkeel_running_tasks",
        "Slots taken by tasks that run or are being asked for.",
        lambda agent: agent.executor.running,
    ),
    Metric(
        Gauge,
        "marigoldkeel_target_slots",
        "Slots of the targets that may get work.",
        lambda agent: agent.board.slots,
    ),
    Metric(
        Gauge,
        "marigoldkeel_running_jobs",
        "Jobs at this primary that have no answer yet.",
        lambda agent: agent.primaries.running_jobs,
    ),
    Metric(
        Gauge,
        "marigoldkeel_claims",
        "Claims and refusals held.",
        lambda agent: sum(
            len(register.claims) for register in agent.board.registers.values()
        ),
    ),
    Metric(
        Gauge,
        "marigoldkeel_partitions",
        "Partitions that this agent is a member of, by role and phase.",
        partitions_by_phase,
    ),
)
ENTRY_METRICS = (
    *COMMON_METRICS,
    Metric(
        Gauge,
        "marigoldkeel_requests_in_progress",
        "Requests of callers that have no answer yet.",
        lambda entry: entry.in_progress,
    ),
)


class RequestTimes:
    """Histogram of response times at an entry."""

    def __init__(self):
        self.histogram = Histogram(
            "marigoldkeel_request_seconds",
            "Response time of checked requests, by class and outcome.",
            registry=Registry(),
            buckets=REQUEST_BUCKETS_S,
        )

    def observe(self, priority: Priority, outcome: Outcome, seconds: float) -> None:
        """Record the response time of one answered request."""
        labels = {"class": priority.name.lower(), "outcome": outcome.value}
        self.histogram.observe(labels, seconds)


def render_metrics(
    daemon, metrics: Iterable[Metric], histograms: Iterable[Histogram] = ()
) -> bytes:
    """Return the metrics of a daemon in the Prometheus text format.

    Each scrape uses a new registry, so that a series without a current sample is no
    longer reported, such as that of a phase that no partition is in any more.
    """
    registry = Registry()
    for metric in metrics:
        metric.add_to(registry, daemon)
    for histogram in histograms:
        registry.register(histogram)
    return TextFormatter().marshall(registry)


def add_metrics_route(
    application: HttpApplication,
    daemon,
    metrics: Iterable[Metric],
    histograms: Iterable[Histogram] = (),
) -> None:
    """Serve the metrics of a daemon at ``GET /metrics``."""
    headers = {
        name.lower(): value for name, value in TextFormatter().get_headers().items()
    }

    @application.route("GET", "/metrics")
    async def scrape(request: Request) -> Response:
        body = render_metrics(daemon, metrics, histograms)
        return Response(200, body, dict(headers))
