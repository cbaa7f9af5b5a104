"""Settings of the daemons that serve repeatable jobs, checked before they start."""

from typing import Annotated

import msgspec
from msgspec import Meta

from marigoldkeel.settings import (
    DomainName,
    ProcessName,
    StoreSettings,
    check_addresses,
)


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The worker beside an agent.

    :ivar reports: Address at which the agent takes the worker's reports.
    """

    address: str
    reports: str
    service: str = ""


class CallerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where an entry serves callers, and the balancer that asks whether it is ready."""

    address: str
    readiness: str


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What an entry or agent of a fleet needs to know to start.

    :ivar listen: Address for messages between daemons.
    :ivar advertise: Address at which others reach ``listen``, if it differs.
    :ivar seeds: Addresses of entries, which may be out of date.
    :ivar grace_s: Time from a planned stop to the end of the process, in seconds.
    :ivar callers: Set for an entry.
    :ivar worker: Set for an agent.
    """

    name: ProcessName
    domain: DomainName
    listen: str
    advertise: str = ""
    store: StoreSettings
    seeds: list[str] = []
    metrics: str = ""
    grace_s: Annotated[float, Meta(gt=0, le=600)] = 6.0
    callers: CallerSettings | None = None
    worker: WorkerSettings | None = None
    log_lines_per_s: Annotated[float, Meta(gt=0)] = 200.0

    def check(self) -> None:
        """Check what the schema cannot express.

        :raises InvalidInput: Naming the key and the reason.
        """
        addresses = {"listen": self.listen}
        if self.advertise:
            addresses["advertise"] = self.advertise
        if self.metrics:
            addresses["metrics"] = self.metrics
        if self.callers is not None:
            addresses["callers.address"] = self.callers.address
            addresses["callers.readiness"] = self.callers.readiness
        if self.worker is not None:
            addresses["worker.address"] = self.worker.address
            addresses["worker.reports"] = self.worker.reports
        for index, seed in enumerate(self.seeds):
            addresses[f"seeds[{index}]"] = seed
        check_addresses(addresses)
