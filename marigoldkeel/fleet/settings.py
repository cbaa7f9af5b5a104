"""Settings of the daemons that serve repeatable jobs, validated before they start."""

import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from marigoldkeel.exceptions import InvalidInput, SettingsError
from marigoldkeel.fleet.capacity import make_capacity_share
from marigoldkeel.fleet.overload import find_overload_policy
from marigoldkeel.fleet.packing import find_packing
from marigoldkeel.settings import (
    DomainName,
    ProcessName,
    StoreSettings,
    check_addresses,
    read_settings,
)


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The worker that an agent manages.

    :ivar address: Address at which the worker accepts orders.
    :ivar reports: Address at which the agent accepts the worker's reports.
    """

    address: str
    reports: str
    service: str = ""


class CallerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses at which an entry serves callers and answers readiness checks."""

    address: str
    readiness: str


class PlacementSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How an entry places tasks.

    :ivar look_ahead: Whether capacity is reserved for waiting jobs that do not fit.
    :ivar packing: Name of the packing policy.
    """

    look_ahead: bool = False
    packing: str = "in_time"


class EvacuationSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Evacuation of failure domains.

    :ivar within_ms: Time from the operators' order until no task may start there.
    """

    within_ms: Annotated[float, Meta(gt=0)]


class OverloadSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How an entry decides while the workers' capacity is not sufficient.

    :ivar policy: Name of an overload policy, see `marigoldkeel.fleet.overload`.
    :ivar capacity: Name of the share of the workers' capacity that the entry counts on,
        see `marigoldkeel.fleet.capacity`.
    """

    policy: str = "by_deadline"
    capacity: str = "even"


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the process, which bound what it keeps for its clients.

    :ivar memory_mb: Memory of the process in MiB; 0 for what the operating system
        reports.
    :ivar max_descriptors: Likewise the descriptors that it may have open.
    """

    memory_mb: Annotated[float, Meta(ge=0)] = 0
    max_descriptors: Annotated[float, Meta(ge=0)] = 0


# Settings that depend on the machine or the deployment and not on the daemon. An
# environment variable states them without a file, and goes before the file.
ENVIRONMENT_VARIABLES = {
    "MARIGOLDKEEL_MEMORY_MB": ("limits", "memory_mb"),
    "MARIGOLDKEEL_MAX_DESCRIPTORS": ("limits", "max_descriptors"),
    "MARIGOLDKEEL_EVACUATE_WITHIN_MS": ("evacuation", "within_ms"),
}
SECTIONS = {"limits": LimitSettings, "evacuation": EvacuationSettings}


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry or agent of a fleet.

    :ivar listen: Address for messages between daemons.
    :ivar advertise: Address at which other daemons reach ``listen``, if it differs.
    :ivar seeds: Addresses of entries for the initial discovery; may be out of date.
    :ivar metrics: Address of the metrics endpoint; empty to disable it.
    :ivar grace_s: Time from a planned stop to the end of the process, in seconds.
    :ivar callers: Present for an entry.
    :ivar worker: Present for an agent.
    :ivar placement: Used by an entry.
    :ivar evacuation: Present for an entry that follows the operators' evacuations.
    :ivar overload: Used by an entry.
    :ivar limits: Limits of the process.
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
    evacuation: EvacuationSettings | None = None
    overload: OverloadSettings = msgspec.field(default_factory=OverloadSettings)
    log_lines_per_s: Annotated[float, Meta(gt=0)] = 200.0
    placement: PlacementSettings = msgspec.field(default_factory=PlacementSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)

    @classmethod
    def from_toml(
        cls, path: str | Path, environment: Mapping[str, str] = os.environ
    ) -> "FleetSettings":
        """Read and validate the settings in a file and in environment variables.

        Usage::

            settings = FleetSettings.from_toml("entry.toml")

        :param environment: Its `ENVIRONMENT_VARIABLES` go before the file; an empty one
            counts as missing.
        :raises SettingsError: Names the file and the key, or the variable, and the
            reason.
        """
        settings = read_settings(path, cls)
        for variable, (section, key) in ENVIRONMENT_VARIABLES.items():
            text = environment.get(variable, "").strip()
            if not text:
                continue
            current = getattr(settings, section)
            content = {} if current is None else msgspec.to_builtins(current)
            try:
                content[key] = _parse_number(text)
                value = msgspec.convert(content, SECTIONS[section])
            except (ValueError, msgspec.ValidationError) as error:
                raise SettingsError(f"{variable}: {error}", "read settings") from None
            setattr(settings, section, value)
        return settings

    def check(self) -> None:
        """Validate constraints that the schema cannot express.

        :raises InvalidInput: Names the invalid key and the reason.
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
        try:
            find_packing(self.placement.packing)
        except InvalidInput as error:
            raise InvalidInput(f"placement.packing: {error.message}") from None
        find_overload_policy(self.overload.policy)
        make_capacity_share(self.overload.capacity)


def _parse_number(text: str) -> float:
    """Parse the value of a variable.

    :raises ValueError: If it is not a finite number.
    """
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"{text!r} is not a number")
    return number
