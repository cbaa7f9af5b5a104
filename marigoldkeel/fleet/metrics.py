"""Metrics of a fleet's daemons: gauges and counters, and two histograms."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

from marigoldkeel.fleet.reservations import ReservationEvent
from marigoldkeel.fleet.work import JobState, RepeatableJob, RunEnd
from marigoldkeel.metrics import Metric, Samples, labelled_samples, resident_bytes


# The buckets range from the shortest jobs to three times the objective of the longest.
JOB_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
RUN_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class JobDurations:
    """Histogram of the time from a job's arrival to its answer."""

    def __init__(self):
        self.histogram = Histogram(
            "marigoldkeel_job_seconds",
            "Time from the arrival of a job to its answer, by queue and outcome.",
            registry=Registry(),
            buckets=JOB_BUCKETS_S,
        )

    def observe(self, job: RepeatableJob, state: JobState, seconds: float) -> None:
        """Record the answer to a job."""
        labels = {"queue": job.queue.name, "outcome": state.name.lower()}
        self.histogram.observe(labels, seconds)


class RunDurations:
    """Histogram of the run times on an agent's worker."""

    def __init__(self):
        self.histogram = Histogram(
            "marigoldkeel_run_seconds",
            "Run time of the tasks at the worker, by how they ended.",
            registry=Registry(),
            buckets=RUN_BUCKETS_S,
        )

    def observe(self, end: RunEnd, seconds: float) -> None:
        """Record the end of a run."""
        self.histogram.observe({"end": end.name.lower()}, seconds)


def bytes_by_direction(daemon) -> Samples:
    """Return the bytes exchanged with other daemons, by direction."""
    counters = daemon.peers.counters
    return labelled_samples(
        "direction", {"in": counters.bytes_received, "out": counters.bytes_sent}
    )


def jobs_by_phase(entry) -> Samples:
    """Return the number of jobs that an entry owns, by phase."""
    scheduler = entry.scheduler
    waiting = len(scheduler.waiting)
    return labelled_samples(
        "phase", {"waiting": waiting, "placed": len(scheduler.jobs) - waiting}
    )


def reservations_by_event(entry) -> Samples:
    """Return how many reservations an entry has held, and how they ended."""
    look_ahead = entry.scheduler.look_ahead
    counts = look_ahead.counts if look_ahead is not None else {}
    return labelled_samples(
        "event", {event.value: counts.get(event, 0) for event in ReservationEvent}
    )


def count_backfilled_starts(entry) -> int:
    """Return how many tasks an entry has started on workers with reservations."""
    look_ahead = entry.scheduler.look_ahead
    return look_ahead.backfilled if look_ahead is not None else 0


def agents_by_choice(entry) -> Samples:
    """Return the number of agents that an entry knows and that it has chosen."""
    links = entry.links
    return labelled_samples(
        "choice", {"known": len(links.subset.agents), "chosen": len(links.links)}
    )


def workers_by_state(entry) -> Samples:
    """Return the number of workers known to an entry, by state."""
    views, is_evacuated = entry.fleet.workers.values(), entry.fleet.is_evacuated
    ready = sum(view.ready and not is_evacuated(view.name) for view in views)
    return labelled_samples("state", {"ready": ready, "unusable": len(views) - ready})


def refusals_by_reason(entry) -> Samples:
    """Return how many jobs were refused as not run, by queue and reason."""
    return [
        ({"queue": queue, "reason": reason}, count)
        for (queue, reason), count in sorted(entry.scheduler.refused.items())
    ]


def counted_cores(entry) -> Samples:
    """Return the cores that an entry counts on, by service."""
    scheduler = entry.scheduler
    return labelled_samples(
        "service",
        {name: scheduler.available_cores(name) for name in entry.fleet.services()},
    )


def client_bytes(daemon) -> Samples:
    """Return the bytes kept for clients, and how many may be."""
    budget = daemon.guard.budget
    return labelled_samples("of", {"kept": budget.total, "limit": budget.capacity})


def client_connections(daemon) -> Samples:
    """Return the connections of clients and other daemons, and how many may be open."""
    guard = daemon.guard
    return labelled_samples(
        "of", {"open": len(guard.connections), "limit": guard.max_connections}
    )


COMMON_METRICS = (
    Metric(
        Gauge,
        "marigoldkeel_client_bytes",
        "Bytes accounted for clients on all ports, and the limit on them.",
        client_bytes,
    ),
    Metric(
        Gauge,
        "marigoldkeel_client_connections",
        "Connections accepted on all ports, and the limit on them.",
        client_connections,
    ),
    Metric(
        Counter,
        "marigoldkeel_clients_refused",
        "Requests refused and connections closed by the limits on clients, by reason.",
        lambda daemon: labelled_samples("reason", daemon.guard.counts),
    ),
    Metric(
        Gauge,
        "marigoldkeel_resident_bytes",
        "Resident memory of the process.",
        lambda daemon: resident_bytes(),
    ),
    Metric(
        Counter,
        "marigoldkeel_peer_bytes",
        "Bytes exchanged with other daemons.",
        bytes_by_direction,
    ),
    Metric(
        Counter,
        "marigoldkeel_store_calls",
        "Calls to the store, by kind.",
        lambda daemon: labelled_samples("kind", daemon.store_calls),
    ),
    Metric(
        Gauge,
        "marigoldkeel_store_reached",
        "Whether the last call for this daemon's record succeeded.",
        lambda daemon: int(bool(daemon.controller.store_reachable)),
    ),
)
ENTRY_METRICS = (
    *COMMON_METRICS,
    Metric(
        Gauge,
        "marigoldkeel_plan_version",
        "Version of the operators' plan in force; 0 before the first.",
        lambda entry: entry.follower.version,
    ),
    Metric(
        Gauge,
        "marigoldkeel_plan_unconfirmed_seconds",
        "Time since the store last stated what the newest plan is.",
        lambda entry: round(entry.follower.unconfirmed_s, 3),
    ),
    Metric(
        Gauge,
        "marigoldkeel_loop_late_seconds",
        "Worst lateness of the event loop in the last five to ten seconds.",
        lambda entry: round(entry.lateness.worst_s, 3),
    ),
    Metric(
        Gauge,
        "marigoldkeel_ready",
        "Whether the balancer is asked to send callers here.",
        lambda entry: int(entry.ready),
    ),
    Metric(
        Gauge,
        "marigoldkeel_requests_in_progress",
        "Requests of callers that have no answer yet.",
        lambda entry: entry.in_progress,
    ),
    Metric(Gauge, "marigoldkeel_jobs", "Jobs owned by this entry.", jobs_by_phase),
    Metric(
        Counter,
        "marigoldkeel_requeued_runs",
        "Runs that ended before their task was done, or were refused, by cause.",
        lambda entry: labelled_samples("cause", entry.scheduler.requeued),
    ),
    Metric(
        Counter,
        "marigoldkeel_reservations",
        "Reservations for waiting jobs that do not fit, by event.",
        reservations_by_event,
    ),
    Metric(
        Counter,
        "marigoldkeel_backfilled_starts",
        "Tasks that were started on workers with a reservation for another job.",
        count_backfilled_starts,
    ),
    Metric(
        Counter,
        "marigoldkeel_refused_jobs",
        "Jobs answered as not run, by queue and reason.",
        refusals_by_reason,
    ),
    Metric(
        Gauge,
        "marigoldkeel_counted_cores",
        "Cores that the entry counts on in its forecasts, by service.",
        counted_cores,
    ),
    Metric(Gauge, "marigoldkeel_workers", "Connected workers.", workers_by_state),
    Metric(
        Gauge,
        "marigoldkeel_evacuated_domains",
        "Failure domains in which no task may start.",
        lambda entry: len(entry.evacuations.since),
    ),
    Metric(
        Gauge,
        "marigoldkeel_evacuation_revision",
        "Revision of the store as of which the evacuations are known; 0 if they are "
        "not.",
        lambda entry: entry.evacuations.revision,
    ),
    Metric(
        Gauge,
        "marigoldkeel_runs_in_evacuated_domains",
        "Runs of this entry that go on in evacuated domains.",
        lambda entry: labelled_samples(
            "domain", entry.fleet.runs_by_evacuated_domain()
        ),
    ),
    Metric(
        Gauge,
        "marigoldkeel_agents",
        "Known agents, and those of them that this entry is or should be connected to.",
        agents_by_choice,
    ),
)
AGENT_METRICS = (
    *COMMON_METRICS,
    Metric(
        Gauge,
        "marigoldkeel_worker_usable",
        "Whether new runs may be started at the worker.",
        lambda agent: int(agent.supervisor.usable),
    ),
    Metric(
        Gauge,
        "marigoldkeel_worker_free_cores",
        "Cores of the worker that no run holds.",
        lambda agent: agent.supervisor.free_resources.cpu_milli / 1000,
    ),
    Metric(
        Gauge,
        "marigoldkeel_runs",
        "Runs that are or may be at the worker.",
        lambda agent: len(agent.supervisor.runs),
    ),
    Metric(
        Counter,
        "marigoldkeel_worker_reports",
        "Reports about the worker, by outcome; only applied ones count at once.",
        lambda agent: labelled_samples("outcome", agent.supervisor.report_counts),
    ),
    Metric(
        Gauge,
        "marigoldkeel_evacuated",
        "Whether no run may start because the failure domain is evacuated.",
        lambda agent: int(agent.supervisor.evacuated),
    ),
    Metric(
        Counter,
        "marigoldkeel_refused_orders",
        "Runs whose start orders were refused, by cause.",
        lambda agent: labelled_samples("cause", agent.supervisor.refused_orders),
    ),
    Metric(
        Gauge,
        "marigoldkeel_owners",
        "Entries that are connected.",
        lambda agent: len(agent.links.links),
    ),
)
