"""A proxy between two daemons that can cut them off from each other."""

import asyncio


CHUNK_BYTES = 65536
CHECK_S = 0.01


class Proxy:
    """Forwards the channels to one address, but for the time of a cut.

    During a cut nothing is forwarded or answered. What was sent on a channel that its
    sender closes meanwhile is lost.

    :ivar is_cut: Whether nothing passes now.
    """

    def __init__(self, target: str):
        self.target = target
        self.is_cut = False

    async def open(self, address: str) -> None:
        """Take channels at an address."""
        host, _, port = address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port), backlog=1000)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        far_writer = None
        try:
            held = await self._hold(reader, b"")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, far_writer, held))
                group.create_task(self._forward(far_reader, writer, b""))
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()

    async def _hold(self, reader, held: bytes) -> bytes:
        """Wait until there is no cut, and return what was sent until then.

        :raises ConnectionError: If the sender has closed the channel meanwhile.
        """
        while self.is_cut:
            try:
                async with asyncio.timeout(CHECK_S):
                    data = await reader.read(CHUNK_BYTES)
            except TimeoutError:
                continue
            if not data:
                raise ConnectionError("closed during a cut")
            held += data
        return held

    async def _forward(self, reader, writer, data: bytes) -> None:
        while True:
            writer.write(await self._hold(reader, data))
            await writer.drain()
            data = await reader.read(CHUNK_BYTES)
            if not data:
                raise ConnectionError("closed")
