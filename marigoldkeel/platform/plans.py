"""Decodes the operators' configuration as stored in the platform's store."""

from typing import Any

import msgspec
from loguru import logger

from marigoldkeel.client_limits import DEFAULT_LIMITS, ClientLimits
from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.plans import Advice, Plan, Queue, Service


PLAN_KEY = "op/config"
# An operator evacuates a failure domain by writing a key with this prefix and its name.
EVACUATION_PREFIX = "op/evacuate/"
MS_PER_S = 1000


class _Advice(msgspec.Struct):
    decide_ms: float
    period_ms: float
    valid_ms: float


class _Route(msgspec.Struct):
    """The configuration of one queue.

    ``slo_ms`` is not the whole objective of a job: it is added to ``stretch`` times the
    expected length of the job's critical path.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 0
    slo_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None

    def to_queue(self) -> Queue:
        advice = self.advice and Advice(
            self.advice.decide_ms / MS_PER_S,
            self.advice.period_ms / MS_PER_S,
            self.advice.valid_ms / MS_PER_S,
        )
        return Queue(
            self.name,
            self.host,
            self.prefix,
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.slo_ms / MS_PER_S,
            self.timeout_ms / MS_PER_S,
            advice,
        )


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = False
    standby: bool = False


# For each limit of the configuration, the field of `ClientLimits`, and how many of its
# units make one of the field's.
LIMIT_FIELDS = {
    "max_header_bytes": ("max_header_bytes", 1),
    "max_body_bytes": ("max_body_bytes", 1),
    "header_timeout_ms": ("header_timeout_s", MS_PER_S),
    "idle_timeout_ms": ("idle_timeout_s", MS_PER_S),
}


def decode_limits(content: Any) -> ClientLimits:
    """Decode the limits on callers; one that is missing or invalid has its default.

    An invalid limit must not make the queues of the same configuration unusable.
    """
    if not isinstance(content, dict):
        logger.warning("limits of the plan ignored: not an object")
        return DEFAULT_LIMITS
    limits = {}
    for name, (field, unit) in LIMIT_FIELDS.items():
        value = content.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool) and value > 0:
            limits[field] = value / unit if unit > 1 else int(value)
        elif value is not None:
            logger.bind(value=str(value)[:40]).warning("limit {} ignored", name)
    return ClientLimits(**limits)


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: Any = None


def decode_plan(data: bytes) -> Plan:
    """Decode a stored configuration into a plan.

    :raises InvalidInput: If the configuration is malformed.
    """
    try:
        content = msgspec.json.decode(data, type=_Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidInput(f"malformed configuration: {error}", "read plan") from None
    return Plan(
        content.version,
        [route.to_queue() for route in content.routes],
        [
            Service(item.name, item.admission_check, item.standby)
            for item in content.services
        ],
        DEFAULT_LIMITS if content.limits is None else decode_limits(content.limits),
    )
