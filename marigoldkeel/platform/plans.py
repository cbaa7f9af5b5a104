"""Decodes the operators' configuration as stored in the platform's store."""

import msgspec

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


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []


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
    )
