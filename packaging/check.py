"""Checks that the zipapp runs, starts no child process and stays within 64 MiB.

Usage: python packaging/check.py [ZIPAPP]; prints its measurements as one line of
JSON. Exits with 1 if a daemon starts a child process, exceeds 64 MiB of peak
resident memory or exits early. Linux only.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path


MEMORY_LIMIT_KIB = 64 * 1024
IDLE_S = 5
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
SETTINGS_TEMPLATE = """
name = "{name}"
domain = "{domain}"
listen = "127.0.0.1:{listen}"
http = "127.0.0.1:{http}"
contacts = ["127.0.0.1:{contact}"]
[store]
url = "http://127.0.0.1:{store}"
"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def wait_until_listening(process: subprocess.Popen, port: int) -> float:
    """Wait until the port accepts a connection and return the seconds that it took."""
    started = time.monotonic()
    while time.monotonic() - started < START_TIMEOUT_S:
        if process.poll() is not None:
            break
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
        except OSError:
            time.sleep(0.01)
        else:
            return time.monotonic() - started
    raise SystemExit(
        f"process {process.args} exited or timed out before listening on port {port}"
    )


def child_pids(pid: int) -> list[int]:
    """Return the pids of the existing child processes of a process."""
    return [
        int(child)
        for path in Path(f"/proc/{pid}/task").glob("*/children")
        for child in path.read_text().split()
    ]


def read_proc_status(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1])
    raise KeyError(field)


def start_process(zipapp: str, directory: str, *arguments: str) -> subprocess.Popen:
    environment = {**os.environ, "SHIV_ROOT": directory}
    return subprocess.Popen(
        [sys.executable, zipapp, *arguments],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def start_daemons(
    zipapp: str, directory: str, processes: list[subprocess.Popen]
) -> dict:
    """Start a store, an entry and an agent; return the start-up time of each."""
    ports = {name: free_port() for name in ("store", "entry", "agent")}
    store = start_process(
        zipapp, directory, "standin", "store", "-a", f"127.0.0.1:{ports['store']}"
    )
    processes.append(store)
    start_times = {"first_start_s": wait_until_listening(store, ports["store"])}
    for role, domain in (("entry", "Seregno"), ("agent", "Lissone")):
        http = free_port()
        settings = Path(directory) / f"{role}.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=role,
                domain=domain,
                listen=ports[role],
                http=http,
                contact=ports["entry"],
                store=ports["store"],
            )
        )
        process = start_process(zipapp, directory, role, str(settings))
        processes.append(process)
        start_times[f"{role}_start_s"] = wait_until_listening(process, http)
    return start_times


def measure_zipapp(zipapp: str) -> dict:
    """Return the measurements of an idle entry and an idle agent.

    Child processes are polled for `IDLE_S` seconds, since they may be short-lived.
    """
    processes: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            report: dict = {"zipapp_bytes": Path(zipapp).stat().st_size}
            report.update(start_daemons(zipapp, directory, processes))
            children_seen: set[int] = set()
            deadline = time.monotonic() + IDLE_S
            while time.monotonic() < deadline:
                for process in processes:
                    children_seen.update(child_pids(process.pid))
                time.sleep(0.02)
            report["children"] = len(children_seen)
            for role, process in zip(("entry", "agent"), processes[1:], strict=True):
                report[f"{role}_rss_kib"] = read_proc_status(process.pid, "VmRSS")
                report[f"{role}_peak_rss_kib"] = read_proc_status(process.pid, "VmHWM")
                report[f"{role}_threads"] = read_proc_status(process.pid, "Threads")
            extracted = [p for p in Path(directory).rglob("*") if p.is_file()]
            report["extracted_bytes"] = sum(p.stat().st_size for p in extracted)
        finally:
            for process in reversed(processes):
                process.send_signal(signal.SIGTERM)
            for process in processes:
                try:
                    process.wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
    report["load_average"] = os.getloadavg()[0]
    return report


def main() -> int:
    zipapp = sys.argv[1] if len(sys.argv) > 1 else "dist/marigoldkeel"
    report = measure_zipapp(zipapp)
    print(json.dumps(report))
    peak = max(report["entry_peak_rss_kib"], report["agent_peak_rss_kib"])
    return int(bool(report["children"]) or peak > MEMORY_LIMIT_KIB)


if __name__ == "__main__":
    sys.exit(main())
