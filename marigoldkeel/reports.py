"""Prints the status reports of daemons as text, for ``marigoldkeel status``."""

from collections.abc import Callable
from typing import Any

from marigoldkeel.exceptions import ProtocolError


Printer = Callable[[dict[str, Any]], None]
printers: dict[str, Printer] = {}


def prints(*roles: str) -> Callable[[Printer], Printer]:
    """Register the function that prints the reports of daemons with these roles."""

    def register(function: Printer) -> Printer:
        printers.update(dict.fromkeys(roles, function))
        return function

    return register


def print_report(report: Any) -> None:
    """Print a status report.

    :raises ProtocolError: If it is none, or of a daemon that this version cannot print.
    """
    role = report.get("role") if isinstance(report, dict) else None
    if role not in printers:
        raise ProtocolError(f"no status report of a known role: {role!r}", "status")
    printers[role](report)


@prints("entry", "agent")
def print_claims_report(report: dict[str, Any]) -> None:
    """Print the report of a daemon for jobs that start at most once.

    The first line shows the revision of the configuration and the version of the
    partition table that the daemon has; the column ``revision`` shows the revision of
    the configuration that each peer has.
    """
    member = report["member"]
    print(
        f"{report['role']} {member['incarnation']} in {member['domain']}, "
        f"configuration {report['config_revision']}, table {report['table_version']}"
    )
    print(f"{'partition':>9} {'generation':>10}  {'primary':28} {'standby':28}")
    for record in report["partitions"]:
        print(
            f"{record['partition']:9} {record['generation']:10}  "
            f"{record['primary']['incarnation']:28} "
            f"{record['standby']['incarnation']:28}"
        )
    print(
        f"{'peer':20} {'domain':14} {'load':>6} {'slots':>5} {'silent s':>8} revision"
    )
    for peer in report["peers"]:
        print(
            f"{peer['incarnation']:28} {peer['domain']:14} {peer['load']:6.2f} "
            f"{peer['slots']:5} {peer['silent_s']:8.1f} {peer['config_revision']:8}"
        )
    for name in ("queue", "running_tasks", "running_jobs", "events"):
        if name in report:
            print(f"{name}: {report[name]}")


@prints("fleet entry")
def print_fleet_entry(report: dict[str, Any]) -> None:
    """Print the report of an entry of a fleet, one line for each agent it may use."""
    member = report["member"]
    state = "leaving" if report["leaving"] else "ready" if report["ready"] else "waits"
    print(
        f"entry {member['incarnation']} in {member['domain']}, {state}, "
        f"plan {report['plan_version']}, {report['jobs']} jobs of which "
        f"{report['waiting_jobs']} wait"
    )
    print(
        f"{len(report['agents'])} of {report['known_agents']} agents, each shared by "
        f"{report['entries_per_agent']} of {report['entries']} entries"
    )
    for row in report["evacuations"]["domains"]:
        print(
            f"domain {row['domain']}: evacuated since revision "
            f"{row['since_revision']}, {row['runs']} runs of this entry are still there"
        )
    for row in report["forecasts"]:
        wait = "without end" if row["wait_s"] is None else f"{row['wait_s']:.3f} s"
        print(
            f"service {row['service']}: counts on {row['cores']} cores, "
            f"{row['waiting_jobs']} jobs wait, the last one {wait}"
        )
    # Entries of earlier versions have no reservations.
    for row in report.get("reservations", []):
        print(
            f"reservation for job {row['job']}: starts in {row['starts_in_s']:.3f} s, "
            f"lapses in {row['lapses_in_s']:.3f} s, on {', '.join(row['workers'])}"
        )
    print(
        f"{'agent':20} {'domain':12} {'cores':>6} {'free':>6} {'runs':>5} {'speed':>6} "
        "state"
    )
    for row in report["agents"]:
        print(
            f"{row['name']:20} {row['domain']:12} {row['cores']:6.1f} "
            f"{row['free_cores']:6.1f} {row['runs']:5} {row['speed']:6.2f} "
            f"{_agent_state(row)}"
        )


def _agent_state(row: dict[str, Any]) -> str:
    if not row["connected"]:
        return "not connected"
    states = ["usable" if row["usable"] else "no usable worker"]
    if row["evacuated"]:
        states = ["evacuated"]
    states += [f"cold for {row['cold_s']} s"] * bool(row["cold_s"])
    states += ["ejected"] * row["ejected"] + ["needed by a job"] * row["needed_by_job"]
    return ", ".join(states)


@prints("fleet agent")
def print_fleet_agent(report: dict[str, Any]) -> None:
    """Print the report of an agent of a fleet: its worker, owners and runs."""
    member = report["member"]
    state = "usable" if report["usable"] else "not usable"
    if report["evacuated"]:
        state = f"evacuated as of revision {report['evacuation_revision']}"
    polled = (
        "never polled"
        if report["polled_s"] is None
        else f"polled {report['polled_s']} s ago"
    )
    print(f"agent {member['incarnation']} in {member['domain']}, worker {state}")
    print(f"boot {report['boot']}, {polled}, {report['free_cores']} cores free")
    print(f"{'owner':28} {'silent s':>8} {'runs':>5}")
    for row in report["owners"]:
        print(f"{row['incarnation']:28} {row['silent_s']:8.3f} {row['runs']:5}")
    print(f"{'job':18} {'step':>4} {'task':>5} {'phase':10} {'%':>3} owner")
    for row in report["runs"]:
        print(
            f"{row['job']:18} {row['step']:4} {row['index']:5} {row['phase']:10} "
            f"{row['percent']:3} {row['owner']}"
        )
