"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit


# The open channels of each server, by its address.
channels: dict[str, set[asyncio.StreamWriter]] = {}


class NoAnswer(Exception):
    """Raised by a handler whose caller gets no answer on this channel any more."""


class Refuse(Exception):
    """Raised by a handler that resets the channel."""


# Handles (method, path, query, headers, body) and returns (status, content).
Handler = Callable[[str, str, dict, dict, bytes], Awaitable[tuple[int, object]]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Start a server that passes each request to a handler."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened = channels.setdefault(f"{host}:{port}", set())
        opened.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                status, content = await handler(method, url.path, query, headers, body)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except NoAnswer:
            # The channel stays open and silent until its peer closes it.
            await reader.read()
        except Refuse:
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            opened.discard(writer)
            writer.close()

    return await asyncio.start_server(run, host, port, backlog=1000)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    content: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, object]:
    """Send one request on a new channel and return the status and the content.

    :raises ConnectionError: If the channel could not be opened or was broken.
    :raises TimeoutError: If there was no complete answer in time.
    """
    host, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    fields = {"host": address, "content-type": "application/json", **headers}
    fields["content-length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("channel ended without an answer")
            first, answer_headers = head
            length = int(answer_headers.get("content-length", 0))
            try:
                data = await reader.readexactly(length)
            except asyncio.IncompleteReadError:
                raise ConnectionError("channel ended inside an answer") from None
    finally:
        if writer is not None:
            writer.close()
    return int(first.split(" ")[1]), json.loads(data) if data else None
