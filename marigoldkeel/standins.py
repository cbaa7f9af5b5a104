"""A stand-in for etcd with fault injection, for the demo, tests and benchmarks."""

from collections.abc import AsyncIterator
from typing import Annotated, Any

import msgspec

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.memory import MemoryState
from marigoldkeel.servers import HttpApplication, Request, Response
from marigoldkeel.stores import MAX_WRITES, StoredValue


NonEmptyBytes = Annotated[bytes, msgspec.Meta(min_length=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class _RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    pass


class _Range(_RequestBody):
    key: NonEmptyBytes
    range_end: bytes = b""
    limit: NonNegativeInt = 0
    revision: NonNegativeInt = 0


class _Compare(_RequestBody):
    key: NonEmptyBytes
    target: str
    result: str = "EQUAL"
    mod_revision: NonNegativeInt = 0


class _Put(_RequestBody):
    key: NonEmptyBytes
    value: bytes = b""


class _Operation(_RequestBody):
    request_put: _Put


class _Txn(_RequestBody):
    compare: list[_Compare] = []
    success: list[_Operation] = []


class _WatchRange(_RequestBody):
    key: NonEmptyBytes
    range_end: bytes = b""
    start_revision: NonNegativeInt = 0


class _Watch(_RequestBody):
    create_request: _WatchRange


class _Faults(_RequestBody):
    down: bool | msgspec.UnsetType = msgspec.UNSET
    delay_s: Annotated[float, msgspec.Meta(ge=0)] | msgspec.UnsetType = msgspec.UNSET
    lose_write_answers: NonNegativeInt | msgspec.UnsetType = msgspec.UNSET
    freeze_watches: bool | msgspec.UnsetType = msgspec.UNSET


def decode_body(
    request: Request, body_type: type, step: str, strict: bool = False
) -> Any:
    """Return the decoded request body.

    :raises InvalidInput: If it is malformed or has an unsupported field.
    """
    try:
        return msgspec.json.decode(request.body, type=body_type, strict=strict)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidInput(
            f"invalid request body: {error}", step, request.peer
        ) from error


class StoreStandin(MemoryState, HttpApplication):
    """A key-value service with the JSON gateway API of etcd v3.

    Usage::

        standin = StoreStandin()
        address = await group.start(serve_http, standin, "127.0.0.1", 0)

    ``POST /faults`` sets fault switches by name and ``GET /counts`` returns the
    number of calls by type; both are also usable from other processes.
    """

    def __init__(self) -> None:
        MemoryState.__init__(self)
        HttpApplication.__init__(self)
        self.route("POST", "/v3/kv/range")(self.handle_range)
        self.route("POST", "/v3/kv/txn")(self.handle_txn)
        self.route("POST", "/v3/watch")(self.handle_watch)
        self.route("POST", "/faults")(self.set_faults)
        self.route("GET", "/counts")(self.handle_counts)

    async def handle_range(self, request: Request) -> Response:
        await self.begin_call("range")
        content = decode_body(request, _Range, "store range")
        values, more = self.read(
            content.key,
            content.range_end or content.key + b"\0",
            content.limit,
            content.revision,
        )
        answer: dict[str, Any] = {"header": self.header()}
        # The etcd gateway omits fields that have their default value.
        if values:
            answer["kvs"] = [self.key_value(value) for value in values]
        if more:
            answer["more"] = True
        return Response.from_json(answer)

    async def handle_txn(self, request: Request) -> Response:
        await self.begin_call("txn")
        content = decode_body(request, _Txn, "store txn")
        puts = {}
        for operation in content.success:
            put = operation.request_put
            self.check_key(put.key, request)
            puts[put.key] = put.value
        if len(puts) < len(content.success):
            raise InvalidInput("duplicate key", "store txn", request.peer)
        if max(len(content.compare), len(puts)) > MAX_WRITES:
            raise InvalidInput(
                f"more than {MAX_WRITES} operations", "store txn", request.peer
            )
        expected = {}
        for compare in content.compare:
            if (compare.target, compare.result) != ("MOD", "EQUAL"):
                raise InvalidInput(
                    "only target MOD with result EQUAL is supported",
                    "store txn",
                    request.peer,
                )
            if expected.setdefault(compare.key, compare.mod_revision) != (
                compare.mod_revision
            ):
                raise InvalidInput(
                    "conflicting expected revisions of a key", "store txn", request.peer
                )
        revision = self.swap(expected, puts)
        answer: dict[str, Any] = {"header": self.header()}
        if revision is not None:
            answer["succeeded"] = True
            put_answer = {"response_put": {"header": self.header()}}
            answer["responses"] = [put_answer for _ in puts]
        return Response.from_json(answer)

    async def handle_watch(self, request: Request) -> Response:
        await self.begin_call("watch")
        content = decode_body(request, _Watch, "store watch").create_request
        # Without a start revision, a watch begins with the next change.
        start_revision = content.start_revision or self.revision + 1
        return Response(
            headers={"content-type": "application/json"},
            chunks=self.watch_lines(
                content.key, content.range_end or content.key + b"\0", start_revision
            ),
        )

    async def watch_lines(
        self, start: bytes, end: bytes, start_revision: int
    ) -> AsyncIterator[bytes]:
        yield self.watch_line(created=True)
        try:
            async for batch in self.watch_range(start, end, start_revision - 1):
                yield self.watch_line(
                    events=[{"kv": self.key_value(value)} for value in batch]
                )
        except InvalidInput:
            yield self.watch_line(
                canceled=True, compact_revision=str(self.compact_revision)
            )

    async def set_faults(self, request: Request) -> Response:
        faults = decode_body(request, _Faults, "set faults", strict=True)
        for name in faults.__struct_fields__:
            value = getattr(faults, name)
            if value is not msgspec.UNSET:
                setattr(self, name, value)
        return Response.from_json(
            {name: getattr(self, name) for name in faults.__struct_fields__}
        )

    async def handle_counts(self, request: Request) -> Response:
        return Response.from_json(dict(self.counts))

    def header(self) -> dict[str, str]:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "1",
        }

    def key_value(self, value: StoredValue) -> dict[str, Any]:
        pair = {"key": value.key.encode(), "mod_revision": str(value.revision)}
        return {**pair, "value": value.data} if value.data else pair

    def watch_line(self, **fields: Any) -> bytes:
        return msgspec.json.encode({"result": {"header": self.header(), **fields}}) + (
            b"\n"
        )

    def check_key(self, key: bytes, request: Request) -> None:
        try:
            key.decode()
        except UnicodeDecodeError as error:
            raise InvalidInput(
                f"key is not UTF-8: {error}", "store txn", request.peer
            ) from error
