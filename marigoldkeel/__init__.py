"""Dispatcher for jobs of sub-second tasks.

Usage::

    import marigoldkeel

    marigoldkeel.submit("cut-list", tasks, entries=["10.0.0.1:8000"], team="shop")
"""

from importlib import import_module

from marigoldkeel.exceptions import (
    Conflict,
    InvalidInput,
    JobFailed,
    MarigoldkeelError,
    OutcomeUnknown,
    PeerLost,
    PeerTimeout,
    PeerUnavailable,
    ProtocolError,
    Refused,
    SettingsError,
    StoreUnavailable,
)
from marigoldkeel.models import Outcome


__all__ = [
    "AsyncSession",
    "Conflict",
    "InvalidInput",
    "JobFailed",
    "MarigoldkeelError",
    "Outcome",
    "OutcomeUnknown",
    "PeerLost",
    "PeerTimeout",
    "PeerUnavailable",
    "ProtocolError",
    "Refused",
    "Session",
    "SettingsError",
    "StoreUnavailable",
    "call",
    "submit",
]

# Imported on first use, so that programs which embed only modules without I/O, such
# as `marigoldkeel.claims`, do not import the HTTP client.
_LAZY_IMPORTS = {
    "AsyncSession": "marigoldkeel.sessions",
    "Session": "marigoldkeel.sessions",
    "call": "marigoldkeel.api",
    "submit": "marigoldkeel.api",
}


def __getattr__(name: str):
    if name not in _LAZY_IMPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(_LAZY_IMPORTS[name]), name)
    globals()[name] = value
    return value
