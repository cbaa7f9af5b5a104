"""Status reports of the daemons of a fleet, for operators.

They show what the decisions are based on: which agents an entry may use, the capacity
that it counts on, and who owns the runs of a worker. Times are in seconds.
"""

from typing import Any

import msgspec

from marigoldkeel.fleet.admission import waiting_times
from marigoldkeel.fleet.links import AgentLink
from marigoldkeel.fleet.runs import Run


def entry_report(entry) -> dict[str, Any]:
    """Return the status report of an entry of a fleet."""
    links, scheduler = entry.links, entry.scheduler
    return {
        "role": "fleet entry",
        "member": msgspec.to_builtins(entry.own_member),
        "ready": entry.ready,
        "leaving": entry.leaving,
        "plan_version": entry.follower.version,
        "plan_unconfirmed_s": round(entry.follower.unconfirmed_s, 3),
        "loop_late_s": round(entry.lateness.worst_s, 3),
        "store_reached": entry.controller.store_reachable,
        "requests_in_progress": entry.in_progress,
        "jobs": len(scheduler.jobs),
        "waiting_jobs": len(scheduler.waiting),
        "evacuations": _evacuations_report(entry),
        "entries": entry.count_entries(),
        "known_agents": len(links.subset.agents),
        "entries_per_agent": round(links.entries_per_agent(), 2),
        "forecasts": [
            _forecast_row(scheduler, service) for service in entry.fleet.services()
        ],
        "reservations": _reservation_rows(scheduler),
        "agents": [_agent_row(entry, link) for _, link in sorted(links.links.items())],
    }


def _evacuations_report(entry) -> dict[str, Any]:
    """Return the evacuated domains, and this entry's runs that go on there."""
    evacuations, runs = entry.evacuations, entry.fleet.runs_by_evacuated_domain()
    return {
        "followed": entry.settings.evacuation is not None,
        "known": evacuations.known,
        "revision": evacuations.revision,
        "domains": [
            {"domain": domain, "since_revision": since, "runs": runs[domain]}
            for domain, since in sorted(evacuations.since.items())
        ],
    }


def _forecast_row(scheduler, service: str) -> dict[str, Any]:
    """Return the forecast for a job that would arrive now behind all waiting ones."""
    waiting = [
        owned
        for owned in scheduler.waiting.values()
        if owned.job.queue.service == service
    ]
    cores = scheduler.available_cores(service)
    waits_s = waiting_times([owned.core_seconds() for owned in waiting], cores)
    wait_s = waits_s[-1] if waits_s else 0.0
    return {
        "service": service,
        "cores": round(cores, 1),
        "waiting_jobs": len(waiting),
        # JSON has no infinity; null stands for a wait without end.
        "wait_s": round(wait_s, 3) if wait_s < float("inf") else None,
    }


def _reservation_rows(scheduler) -> list[dict[str, Any]]:
    """Return the gaps that are kept for waiting jobs."""
    if scheduler.look_ahead is None:
        return []
    now = scheduler.clock()
    return [
        {
            "job": reservation.job_id,
            "starts_in_s": round(reservation.starts_at - now, 3),
            "lapses_in_s": round(reservation.lapses_at - now, 3),
            "workers": sorted(reservation.gaps),
        }
        for reservation in scheduler.look_ahead.held
    ]


def _agent_row(entry, link: AgentLink) -> dict[str, Any]:
    name, view = link.member.name, entry.fleet.view(link.member.name)
    now = entry.links.clock()
    return {
        "name": name,
        "domain": link.member.domain,
        "address": link.member.address,
        "recorded_address": (link.successor or link.member).address,
        "connected": link.connection is not None,
        "usable": view.ready and not entry.fleet.is_evacuated(name),
        "evacuated": entry.fleet.is_evacuated(name),
        "cold_s": round(max(0.0, view.warm_at - entry.scheduler.clock()), 1),
        "ejected": name in entry.scheduler.detector.ejected,
        "needed_by_job": name in entry.links.subset.pinned,
        "unwanted_s": round(now - link.wanted_at, 1),
        "unacknowledged_s": round(link.unacknowledged_s(now), 3),
        "speed": round(entry.scheduler.forecaster.speed(name), 2),
        "cores": view.facts.capacity.cpu_milli / 1000 if view.facts else 0.0,
        "free_cores": view.free.cpu_milli / 1000,
        "runs": len(view.placed),
    }


def agent_report(agent) -> dict[str, Any]:
    """Return the status report of an agent of a fleet."""
    supervisor = agent.supervisor
    now, suspended_now = supervisor.clock(), supervisor.suspended_clock()
    return {
        "role": "fleet agent",
        "member": msgspec.to_builtins(agent.own_member),
        "leaving": supervisor.leaving,
        "store_reached": agent.controller.store_reachable,
        "worker": msgspec.to_builtins(supervisor.facts),
        "boot": supervisor.boot,
        "unconfirmed_boots": sorted(supervisor.unconfirmed),
        "reports": dict(supervisor.report_counts),
        "usable": supervisor.usable,
        "evacuated": supervisor.evacuated,
        "evacuation_revision": supervisor.evacuations.revision,
        "refused_orders": dict(supervisor.refused_orders),
        "polled_s": round(now - supervisor.polled_at, 3)
        if supervisor.reconciled
        else None,
        "free_cores": supervisor.free_resources.cpu_milli / 1000,
        "runs": [_run_row(run, now) for run in supervisor.runs.values()],
        "owners": [
            {
                "incarnation": owner.incarnation,
                "silent_s": round(suspended_now - owner.lease_renewed_at, 3),
                "runs": sum(
                    run.owner == owner.incarnation for run in supervisor.runs.values()
                ),
            }
            for owner in supervisor.owners.values()
        ],
    }


def _run_row(run: Run, now: float) -> dict[str, Any]:
    task = run.run_id.task
    return {
        "job": task.job_id,
        "step": task.step,
        "index": task.index,
        "number": run.run_id.number,
        "owner": run.owner,
        "phase": run.phase.value,
        "percent": run.percent,
        "running_s": round(now - run.started_at, 3) if run.started_at else None,
        "expected_s": run.expected_s,
    }
