"""Loopback addresses for the processes of a test or an emulated installation."""

import random
import socket


HOST = "127.0.0.1"
LISTEN_PORTS = (12_000, 32_000)

allocated: set[str] = set()


def free_address(host: str = HOST) -> str:
    """Return a loopback address whose port was free just now.

    The port is below those of outgoing connections, so that none of these takes it
    before a daemon listens on it or while it is restarted. No address is returned
    twice, as its daemon may not listen yet.
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
