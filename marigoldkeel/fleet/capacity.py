"""How much of the workers' capacity an entry counts on. Performs no I/O.

Designed for entries of unequal demand: the balancer picks an entry by a hash of the
caller, so one entry may receive most of the work. An entry that counted only on an even
share of the workers would refuse jobs while they are free.
"""

import math
from collections.abc import Callable

from msgspec import Struct

from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.fleet.views import WorkerView, has_warm


# Time constant of the average of what the other entries leave free. Short jobs run for
# 0.4 s, so a gap between two of them is averaged out, while a burst of seconds at
# another entry shows within a fraction of it.
SMOOTHING_S = 0.3


def usable_cpu_milli(views: list[WorkerView], now: float) -> int:
    """Return the CPU capacity of some workers that may be used now.

    Part of a cold worker is held back, unless all workers are cold.
    """
    cpu_milli = sum(view.facts.capacity.cpu_milli for view in views)
    if has_warm(views, now):
        cpu_milli -= sum(
            view.held_back_milli(now) for view in views if now < view.warm_at
        )
    return cpu_milli


class SurplusEstimate(Struct):
    """The average share of the capacity that an entry has beyond its even share."""

    share: float = 0.0
    updated_at: float = float("-inf")

    def update(self, share: float, now: float) -> None:
        """Add an observation, weighted by the time since the last one."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.share += (1 - math.exp(-elapsed_s / SMOOTHING_S)) * (share - self.share)
        self.updated_at = now


class CapacityShare:
    """How much of the workers' capacity an entry counts on."""

    def cores(
        self,
        service: str,
        views: list[WorkerView],
        entries_per_worker: float,
        now: float,
    ) -> float:
        """Return the cores that an entry counts on.

        :param views: The usable workers of the service.
        :param entries_per_worker: How many entries share a worker on average.
        """
        raise NotImplementedError


capacity_shares: dict[str, type[CapacityShare]] = {}


def capacity_share(name: str) -> Callable[[type[CapacityShare]], type[CapacityShare]]:
    """Register a capacity share under a name used in the settings."""

    def register(cls: type[CapacityShare]) -> type[CapacityShare]:
        capacity_shares[name] = cls
        return cls

    return register


@capacity_share("even")
class EvenShare(CapacityShare):
    """Counts on the same share of the workers at each entry.

    Designed for entries of equal demand.
    """

    def cores(
        self,
        service: str,
        views: list[WorkerView],
        entries_per_worker: float,
        now: float,
    ) -> float:
        return usable_cpu_milli(views, now) / 1000 / entries_per_worker


@capacity_share("left_over")
class LeftOverShare(CapacityShare):
    """Counts on the even share, or on what the other entries leave if that is more.

    They leave the capacity that is free now, and that of this entry's own runs. The
    even share is a lower bound, since an entry whose demand rises gets at least that
    much as the others' runs end.

    :ivar surplus: What this entry has beyond its even share, by service.
    """

    def __init__(self):
        self.surplus: dict[str, SurplusEstimate] = {}

    def cores(
        self,
        service: str,
        views: list[WorkerView],
        entries_per_worker: float,
        now: float,
    ) -> float:
        total = usable_cpu_milli(views, now)
        left_over = sum(
            max(0, view.free.cpu_milli) + view.placed_cpu_milli for view in views
        )
        if not total:
            return 0.0
        even_share = 1 / entries_per_worker
        estimate = self.surplus.setdefault(service, SurplusEstimate())
        # A share instead of cores, so that lost workers count at once.
        estimate.update(max(0.0, left_over / total - even_share), now)
        return total / 1000 * min(1.0, even_share + estimate.share)


def make_capacity_share(name: str) -> CapacityShare:
    """Create the capacity share of a name used in the settings.

    :raises InvalidInput: If there is none.
    """
    if name not in capacity_shares:
        known = ", ".join(sorted(capacity_shares))
        raise InvalidInput(
            f"unknown capacity share {name!r}; known: {known}", "settings"
        )
    return capacity_shares[name]()
