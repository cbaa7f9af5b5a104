"""Which entries to ask for newer orders of the operators, and when.

Performs no I/O; callers pass in the time. Designed for dozens of entries of which the
store may reject any number, while announcements and replies are lost.
"""

from collections.abc import Iterable

from msgspec import Struct


# Entries that are asked at the same time. Each reply may contain a whole plan.
MAX_PULLS = 2
# A request that has no reply for this long does not count as one of them any more.
SLOW_AFTER_S = 0.5
# Interval between requests to one entry that has announced something newer.
RETRY_INTERVAL_S = 0.5
# An entry asks others once the store has not answered it for this long. Each answer to
# a watch states what was current when the watch began, so in calm it is up to 1.6 s.
ASK_AFTER_S = 1.8
# Interval between requests to entries that have announced nothing newer.
ASK_INTERVAL_S = 0.5


class News(Struct, frozen=True):
    """What an entry has announced to know.

    :ivar version: The version of its plan.
    :ivar evacuation_revision: The revision of its evacuations; 0 if it has none.
    """

    version: int = 0
    evacuation_revision: int = 0

    def is_newer_than(self, known: "News") -> bool:
        """Return whether the entry knows something newer than what is known here."""
        return (
            self.version > known.version
            or self.evacuation_revision > known.evacuation_revision
        )


NO_NEWS = News()


class PullSchedule:
    """Chooses the entries to ask.

    An entry that has announced newer orders is asked until they are known. While the
    store does not answer, the others are asked in turn.

    :ivar announced: What each entry has announced last, by address.
    :ivar pending: The addresses that have been asked and have not replied, each with
        the time of the request.
    """

    __slots__ = ("announced", "pending", "asked_at", "turn", "next_turn_at")

    def __init__(self):
        self.announced: dict[str, News] = {}
        self.pending: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}
        self.turn: list[str] = []
        self.next_turn_at = float("-inf")

    def record(self, address: str, news: News) -> None:
        """Record an announcement."""
        self.announced[address] = news

    def forget_others(self, addresses: Iterable[str]) -> None:
        """Forget what entries have announced that are not known any more."""
        known = set(addresses)
        for recorded in (self.announced, self.asked_at):
            for address in recorded.keys() - known:
                del recorded[address]

    def choose_newer(
        self, now: float, known: News, addresses: Iterable[str]
    ) -> list[str]:
        """Return those of the entries to ask now that know more than this one.

        Each counts as asked until `end`.
        """
        newer = [
            address
            for address in addresses
            if address not in self.pending
            and self.announced.get(address, NO_NEWS).is_newer_than(known)
            and now - self._asked_at(address) >= RETRY_INTERVAL_S
        ]
        return self._begin(now, sorted(newer, key=self._asked_at))

    def choose_in_turn(
        self, now: float, unconfirmed_s: float, addresses: Iterable[str]
    ) -> list[str]:
        """Return the entries to ask now because the store does not answer.

        Each counts as asked until `end`.

        :param unconfirmed_s: Seconds since the store last stated what is the newest.
        """
        if unconfirmed_s <= ASK_AFTER_S or now < self.next_turn_at:
            return []
        self.next_turn_at = now + ASK_INTERVAL_S
        known = set(addresses)
        waiting = [address for address in self.turn if address in known]
        waiting += sorted(known - set(waiting))
        chosen = self._begin(
            now, [address for address in waiting if address not in self.pending]
        )
        self.turn = [address for address in waiting if address not in chosen] + chosen
        return chosen

    def end(self, address: str) -> None:
        """Record that an entry has replied, or that the request has failed."""
        self.pending.pop(address, None)

    def _begin(self, now: float, candidates: list[str]) -> list[str]:
        recent = sum(now - began < SLOW_AFTER_S for began in self.pending.values())
        chosen = candidates[: max(0, MAX_PULLS - recent)]
        for address in chosen:
            self.pending[address] = now
            self.asked_at[address] = now
        return chosen

    def _asked_at(self, address: str) -> float:
        return self.asked_at.get(address, float("-inf"))
