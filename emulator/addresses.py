"""Loopback addresses for the processes of a test or an emulated installation."""

import random
import socket


HOST = "127.0.0.1"
LISTEN_PORTS = (12_000, 32_000)

allocated: set[str] = set()


def free_address(host: str = HOST) -> str:
    """Return a loopback address whose port is currently free.

    The port is below the ephemeral range, so that no outgoing connection can take it
    before a daemon listens on it or while the daemon restarts. No address is returned
    twice, since the daemon that uses it may not listen yet.
    """
    while True:
        port = random.randrange(*LISTEN_PORTS)
        address = f"{host}:{port}"
        if address in allocated:
            continue
        try:
            with socket.create_server((host, port)):
                allocated.add(address)
                return address
        except OSError:
            continue
