"""HTTP client for the platform's services and the runner."""

from typing import Any

import msgspec

from marigoldkeel.clients import HttpClient
from marigoldkeel.deadlines import Limit, fail_after
from marigoldkeel.exceptions import (
    PeerLost,
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
)


HEADERS = {"content-type": "application/json"}


class Reply:
    """A response whose body has not been decoded yet."""

    __slots__ = ("status", "body", "peer")

    def __init__(self, status: int, body: bytes, peer: str):
        self.status = status
        self.body = body
        self.peer = peer

    def decode(self, content_type: Any, step: str) -> Any:
        """Return the decoded body.

        :raises ProtocolError: If it is malformed.
        """
        try:
            return msgspec.json.decode(self.body, type=content_type)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ProtocolError(
                f"malformed response: {error}", step, self.peer
            ) from None


class PlatformClient:
    """HTTP client for one address.

    :param address: IP address and port.
    :param connections: Maximum number of concurrent calls.
    :param limit: Limits the whole call, or the time without progress.
    """

    def __init__(self, address: str, connections: int, limit: Limit = fail_after):
        self.address = address
        self.limit = limit
        self.client = HttpClient(address, connections)

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the response.

        :param target: Path and query.
        :raises PeerUnavailable: If the request was not sent.
        :raises PeerTimeout: If there was no response; the request may have been
            executed.
        """
        body = b"" if content is None else msgspec.json.encode(content)
        step = f"{method} {target.partition('?')[0]}"
        try:
            with self.limit(timeout_s) as on_progress:
                response = await self.client.request(
                    method, target, {**HEADERS, **(headers or {})}, body, on_progress
                )
        except PeerUnavailable as error:
            raise PeerUnavailable(
                f"not sent: {error.message}", step, self.address
            ) from None
        except TimeoutError:
            message = f"no answer within {timeout_s:.2f} s"
            raise PeerTimeout(message, step, self.address) from None
        except (PeerLost, ProtocolError) as error:
            raise PeerTimeout(error.message, step, self.address) from None
        return Reply(response.status, response.body, self.address)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()
