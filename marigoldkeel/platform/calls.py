"""The one HTTP client for the platform's services and the runner."""

from typing import Any

import anyio
import httpcore
import msgspec

from marigoldkeel.exceptions import (
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
)


HEADERS = {"content-type": "application/json"}
# New connections to a runner are priced, so they are kept.
KEEPALIVE_EXPIRY_S = 120.0
CONNECTION_LOST_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class Reply:
    """An answer with its body still encoded."""

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
            raise ProtocolError(f"malformed answer: {error}", step, self.peer) from None


class PlatformClient:
    """Calls one address.

    :param address: IP number and port.
    :param connections: How many calls may be under way at once.
    """

    def __init__(self, address: str, connections: int):
        self.address = address
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=KEEPALIVE_EXPIRY_S
        )

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Return the answer to a call.

        :param target: Path and query.
        :raises PeerUnavailable: If nothing was sent.
        :raises PeerTimeout: If there was no answer; the call may have been carried out.
        """
        body = b"" if content is None else msgspec.json.encode(content)
        step = f"{method} {target.partition('?')[0]}"
        try:
            with anyio.fail_after(timeout_s):
                response = await self.pool.request(
                    method,
                    f"http://{self.address}{target}",
                    headers={**HEADERS, **(headers or {})},
                    content=body,
                )
        except (httpcore.ConnectError, httpcore.PoolTimeout) as error:
            raise PeerUnavailable(f"not sent: {error}", step, self.address) from None
        except (TimeoutError, httpcore.TimeoutException):
            message = f"no answer within {timeout_s:.2f} s"
            raise PeerTimeout(message, step, self.address) from None
        except CONNECTION_LOST_ERRORS as error:
            message = f"connection lost: {type(error).__name__} {error}"
            raise PeerTimeout(message, step, self.address) from None
        return Reply(response.status, response.content, self.address)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()
