"""Random messages of every type, with fields that the schema allows."""

import random
from contextlib import suppress
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

from capnp import KjException
from msgspec import Struct

from marigoldkeel.messages import Envelope, decode_frame, encode_frame, message_types


# Bounds of the schema's integer types and their neighbours.
INTEGERS = (0, 1, 2, 255, 65_535, 2**31 - 1, 2**32 - 1, 2**63 - 1, 2**64 - 1, -1)
FLOATS = (0.0, 1.0, -1.0, 1e-9, 1e300, float("inf"), float("nan"))
BYTES = (b"", b"\x00", b"null", b"[1]", b"{", bytes(16), b"\xff" * 40)
TEXTS = (
    *("", "a", "0", "a@1", "@", "127.0.0.1:1", "127.0.0.1:70000", "quote", "ordini"),
    *("table", "configuration", "00000000000000aa", "x" * 300, "\x00", "\N{SNOWMAN}"),
)
MAX_ITEMS = 3
# How often a field gets a value of these lists rather than one that is in use.
EXTREME_SHARE = 0.4


class MessageGenerator:
    """Draws messages; the same seed gives the same messages.

    Usage::

        generator = MessageGenerator(seed=1, texts=["agent-0", "entry-0@5f"])
        message = generator.draw()

    :param texts: Names and addresses in use, which get a message past first checks.
    """

    def __init__(self, seed: int, texts: list[str]):
        self.random = random.Random(seed)
        self.texts = [*texts, *TEXTS]
        self.types = sorted(message_types.values(), key=lambda cls: cls.__name__)

    def draw(self) -> Any:
        """Return a message as its receiver would decode it."""
        cls = self.random.choice(self.types)
        while True:
            envelope = Envelope(0, False, self._value(cls))
            # Numbers that do not fit their fields are refused by the codec.
            with suppress(KjException):
                return decode_frame(encode_frame([envelope]))[0].content

    def _value(self, hint: Any) -> Any:
        origin, arguments = get_origin(hint), get_args(hint)
        if origin is list:
            count = self.random.randrange(MAX_ITEMS + 1)
            return [self._value(arguments[0]) for _ in range(count)]
        if issubclass(hint, Enum):
            return self.random.choice(list(hint))
        if issubclass(hint, Struct):
            fields = get_type_hints(hint)
            names = hint.__struct_fields__
            return hint(**{name: self._value(fields[name]) for name in names})
        return self._scalar(hint)

    def _scalar(self, hint: type) -> Any:
        is_extreme = self.random.random() < EXTREME_SHARE
        if hint is bool:
            return self.random.random() < 0.5
        if hint is int:
            return self.random.choice(INTEGERS) if is_extreme else self._small()
        if hint is float:
            return self.random.choice(FLOATS) if is_extreme else self.random.random()
        if hint is bytes:
            return self.random.choice(BYTES)
        return self.random.choice(self.texts)

    def _small(self) -> int:
        return self.random.randrange(10)
