"""The command line interface.

Exit codes:

- 0: success.
- 1: the job failed, a change of the configuration was not accepted, or another error
  occurred.
- 2: wrong usage or invalid input.
- 3: the outcome is unknown; the request may have had an effect.
- 4: the job or call was refused and nothing was run.

There are two kinds of installation, each with entries, which serve callers, and agents,
which execute tasks. In one kind, agents use targets; ``entry`` and ``agent`` start its
daemons. In the other, a fleet, agents use workers; ``serve`` starts its daemons.
"""

import gc
import signal
import sys
from typing import Any

import anyio
import msgspec
from loguru import logger

from marigoldkeel.exceptions import (
    InvalidInput,
    JobFailed,
    MarigoldkeelError,
    OutcomeUnknown,
    Refused,
)


EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_UNKNOWN = 3
EXIT_NOT_RUN = 4


def entry(settings_file: str) -> int:
    """Run an entry, which serves callers over HTTP, until SIGTERM or SIGINT.

    :param settings_file: TOML file with the settings of this process.
    """
    from marigoldkeel.entries import Entry

    return _run_entry_or_agent(Entry, settings_file)


def agent(settings_file: str) -> int:
    """Run an agent, which executes tasks on its targets, until SIGTERM or SIGINT.

    It also serves partitions. The ids of submissions are divided among the partitions,
    and each partition holds the records of its ids.

    :param settings_file: TOML file with the settings of this process.
    """
    from marigoldkeel.agents import Agent

    return _run_entry_or_agent(Agent, settings_file)


def serve(settings_file: str) -> int:
    """Run an entry or agent of a fleet of workers until SIGTERM or SIGINT.

    A fleet runs repeatable jobs. A section [callers] in the settings makes the process
    an entry, a section [worker] an agent.

    :param settings_file: TOML file with the settings of this process.
    """
    from marigoldkeel.fleet.settings import FleetSettings
    from marigoldkeel.logs import configure_decision_log
    from marigoldkeel.platform.daemons import open_daemon

    settings = FleetSettings.from_toml(settings_file)
    configure_decision_log(settings.log_lines_per_s)
    daemon = open_daemon(settings, settings_file)
    anyio.run(_run_daemon, daemon, backend_options={"use_uvloop": True})
    return EXIT_OK


def _run_entry_or_agent(daemon_type: Any, settings_file: str) -> int:
    """Run the daemon of the command ``entry`` or ``agent``."""
    from marigoldkeel.logs import configure_logs
    from marigoldkeel.settings import Settings

    settings = Settings.from_toml(settings_file)
    configure_logs(settings.log_format, settings.log_level)
    anyio.run(_run_daemon, daemon_type.from_settings(settings))
    return EXIT_OK


async def _run_daemon(daemon: Any) -> None:
    # The modules and their classes stay, so collections need not look at them.
    gc.freeze()
    gc.enable()
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(daemon: Any) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for received in signals:
            if received == signal.SIGHUP:
                daemon.reload()
                continue
            logger.info("received {}; stopping", signal.Signals(received).name)
            daemon.stop()


def demo(*, seconds: float = 5.0, verbose: bool = False) -> int:
    """Run the whole system in one process on loopback and print measured times.

    :param seconds: Number of seconds for which requests are sent.
    :param verbose: Whether to log at level INFO instead of WARNING.
    """
    from marigoldkeel.demo import run_demo
    from marigoldkeel.logs import configure_logs

    configure_logs("text", "INFO" if verbose else "WARNING")
    timings = anyio.run(run_demo, seconds)
    return EXIT_FAILED if any(timing.failures for timing in timings) else EXIT_OK


def submit(
    kind: str,
    tasks_file: str,
    *,
    entries: list[str],
    team: str,
    token: str = "",
    deadline_s: float = 30.0,
    submission_id: str | None = None,
) -> int:
    """Run a job and print the results of its tasks as JSON.

    :param kind: The kind of its tasks.
    :param tasks_file: A file with a JSON array, one element per task; - for stdin.
    :param entries: HTTP addresses of entries, as HOST:PORT.
    :param team: The team whose quota is charged.
    :param token: The team's token, if it has one.
    :param deadline_s: Seconds until the result is no longer useful.
    :param submission_id: The id of an earlier request whose answer was lost. If that
        request has run, its outcome is printed; otherwise it is run now.
    """
    from marigoldkeel.api import submit as submit_job

    tasks = msgspec.json.decode(_read_input(tasks_file))
    return _send_and_print(
        lambda: (
            submit_job(
                kind,
                tasks,
                entries=entries,
                team=team,
                token=token,
                deadline_s=deadline_s,
                submission_id=submission_id,
            ).results
        )
    )


def call(
    kind: str,
    value: str,
    *,
    entries: list[str],
    team: str,
    token: str = "",
    deadline_s: float = 30.0,
    submission_id: str | None = None,
) -> int:
    """Make one call and print its result as JSON.

    :param kind: The kind of the call.
    :param value: One JSON value.
    :param entries: HTTP addresses of entries, as HOST:PORT.
    :param team: The team whose quota is charged.
    :param token: The team's token, if it has one.
    :param deadline_s: Seconds until the result is no longer useful.
    :param submission_id: The id of an earlier request whose answer was lost. If that
        request has run, its outcome is printed; otherwise it is run now.
    """
    from marigoldkeel.api import call as make_call

    return _send_and_print(
        lambda: (
            make_call(
                kind,
                msgspec.json.decode(value),
                entries=entries,
                team=team,
                token=token,
                deadline_s=deadline_s,
                submission_id=submission_id,
            ).result
        )
    )


def cancel(
    submission_id: str,
    *,
    entries: list[str],
    team: str,
    token: str = "",
    unanswered: int = 1,
) -> int:
    """Cancel a job or call and print its outcome as JSON.

    :param submission_id: The id of the submission.
    :param entries: HTTP addresses of entries, as HOST:PORT.
    :param team: The team that submitted it.
    :param token: The team's token, if it has one.
    :param unanswered: Number of requests with this id that got no answer, for example
        because the connection was lost. Any of them may have run, so a submission whose
        start is not recorded is reported as unknown; with 0, as not run.
    """
    from marigoldkeel.sessions import Session

    with Session(entries, team, token=token) as session:
        return _send_and_print(
            lambda: session.cancel(submission_id, unanswered=unanswered)
        )


def _read_input(path: str) -> bytes:
    if path == "-":
        return sys.stdin.buffer.read()
    with open(path, "rb") as file:
        return file.read()


def _send_and_print(send_request: Any) -> int:
    """Send a request and print its result as JSON."""
    print(msgspec.json.encode(send_request()).decode())
    return EXIT_OK


def status(address: str, *, json: bool = False) -> int:
    """Print the status report of an entry or agent.

    :param address: The HTTP address of an entry or agent, as HOST:PORT; for a daemon of
        a fleet, the one of its metrics.
    :param json: Whether to print the whole report as JSON.
    """
    from marigoldkeel.reports import print_report

    report = _fetch_status(address)
    if json:
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        print_report(report)
    return EXIT_OK


def _fetch_status(address: str) -> dict[str, Any]:
    # Imported here because daemons use another HTTP client.
    import httpcore

    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request("GET", f"http://{address}/v1/status")
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise MarigoldkeelError(str(error), "status", address) from None
    try:
        return msgspec.json.decode(response.content)
    except msgspec.DecodeError as error:
        problem = f"HTTP {response.status} response is no status report: {error}"
        raise MarigoldkeelError(problem, "status", address) from None


def partition_reopen(
    partition: int,
    *,
    store: str,
    status_address: str,
    author: str,
    reason: str,
    members_have_stopped: bool = False,
) -> int:
    """Reopen a partition after both of its members were lost.

    Each submission id contains the time of its creation by the caller's clock, which
    may be up to a minute fast. The lost members may have started ids with a time up to
    a minute after the reopening, so the partition then accepts only ids with a later
    time. If a lost member is still running, a task may start twice, so check both hosts
    first.

    :param partition: Number of the partition.
    :param store: URL of the store.
    :param status_address: HTTP address, as HOST:PORT, of an entry that reports the
        live agents.
    :param author: Who makes the change.
    :param reason: Why it is made.
    :param members_have_stopped: Confirms that both lost members have ended.
    """
    from marigoldkeel.reopening import reopen

    if not members_have_stopped:
        raise InvalidInput(
            "confirm with --members-have-stopped that both lost members have ended",
            "reopen partition",
        )
    report = _fetch_status(status_address)
    generation = anyio.run(reopen, store, partition, report, author, reason)
    print(f"partition {partition} reopened at generation {generation}")
    return EXIT_OK


def standin_store(*, address: str = "127.0.0.1:2379") -> int:
    """Run an in-memory stand-in for the platform's store, for trials and tests.

    :param address: The address to listen on, as HOST:PORT.
    """
    from marigoldkeel.standins import StoreStandin

    return anyio.run(_serve_standin, StoreStandin(), address)


async def _serve_standin(application: Any, address: str) -> int:
    from marigoldkeel.servers import serve_http
    from marigoldkeel.transports import parse_address

    host, port = parse_address(address)
    async with anyio.create_task_group() as group:
        bound = await group.start(serve_http, application, host, port)
        print(f"listening on {bound}", flush=True)
        await _wait_for_signal()
        group.cancel_scope.cancel()
    return EXIT_OK


def standin_runner(
    name: str,
    agent_http: str,
    *,
    kinds: list[str],
    slots: int = 8,
    speed: float = 1.0,
    history: str | None = None,
) -> int:
    """Run a stand-in for a runner, for trials and tests.

    :param name: The runner's name.
    :param agent_http: The HTTP address of its agent, as HOST:PORT.
    :param kinds: The kinds of tasks that it accepts.
    :param slots: The number of tasks that it runs at once.
    :param speed: Divisor of the service time that a task requests.
    :param history: File to which a line is appended for each start of a task.
    """
    from marigoldkeel.runners import RunnerStandin

    runner = RunnerStandin(
        name, kinds=kinds, slots=slots, speed=speed, history_path=history
    )
    return anyio.run(_serve_runner, runner, agent_http)


async def _serve_runner(runner: Any, agent_http: str) -> int:
    async with anyio.create_task_group() as group:
        bound = await group.start(runner.serve, agent_http)
        print(f"listening on {bound}", flush=True)
        await _wait_for_signal()
        await runner.stop()
    return EXIT_OK


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


DAEMONS = {"entry": entry, "agent": agent, "serve": serve}


def main() -> None:
    """Run the command named on the command line."""
    try:
        code = _run_command(sys.argv[1:])
    except (InvalidInput, msgspec.DecodeError) as error:
        # DecodeError: an argument or a file is not valid JSON.
        code = _print_error(error, EXIT_INVALID)
    except Refused as error:
        code = _print_error(error, EXIT_NOT_RUN)
    except OutcomeUnknown as error:
        code = _print_error(error, EXIT_UNKNOWN)
    except (JobFailed, MarigoldkeelError, OSError) as error:
        code = _print_error(error, EXIT_FAILED)
    sys.exit(code)


def _run_command(arguments: list[str]) -> int:
    match arguments:
        case [name, settings_file] if name in DAEMONS and not settings_file.startswith(
            "-"
        ):
            # Bypasses defopt, which imports docutils to parse docstrings; a daemon
            # would keep it in memory.
            return DAEMONS[name](settings_file)
    import defopt

    from marigoldkeel import operators

    commands = {
        **DAEMONS,
        "demo": demo,
        "submit": submit,
        "call": call,
        "cancel": cancel,
        "status": status,
        "partition": {"reopen": partition_reopen},
        "standin": {"store": standin_store, "runner": standin_runner},
        **operators.COMMANDS,
    }
    return defopt.run(commands, argv=arguments)


def _print_error(error: Exception, code: int) -> int:
    print(f"marigoldkeel: {error}", file=sys.stderr)
    return code
