"""A TCP forwarder that can hold the bytes of one direction."""

import anyio


READ_BYTES = 65536


class Forwarder:
    """Passes TCP bytes on to ``target`` and can hold those towards it.

    Held bytes arrive when the link is restored, as after a retransmission.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.passing = anyio.Event()
        self.passing.set()

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        host, port = self.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            task_status.started()
            await listener.serve(self._accept)

    async def hold(self) -> None:
        self.passing = anyio.Event()

    async def restore(self) -> None:
        self.passing.set()

    async def _accept(self, stream) -> None:
        host, port = self.target.split(":")
        try:
            async with stream, await anyio.connect_tcp(host, int(port)) as onward:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._copy, stream, onward, True, group)
                    group.start_soon(self._copy, onward, stream, False, group)
        except OSError:
            return

    async def _copy(self, source, sink, can_hold: bool, group) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                if can_hold:
                    await self.passing.wait()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            group.cancel_scope.cancel()
