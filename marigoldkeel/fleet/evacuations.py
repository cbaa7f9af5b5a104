"""The failure domains that operators have evacuated. Performs no I/O.

While a domain is evacuated, no task may start on its workers. The state is the set of
evacuated domains as of a revision of the store. Entries read it from the store and from
each other, and agents receive it from their entries; each keeps the state with the
highest revision. A state is a whole set, so it needs no earlier one to be applied, and
a removal that was missed is part of the next state.

Designed for a few changes an hour that all daemons must follow within seconds, although
the store, links and processes fail meanwhile.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec
from loguru import logger

from marigoldkeel.exceptions import InvalidInput


MAX_DOMAIN_LENGTH = 64


class EvacuatedDomains:
    """The evacuated domains as of the highest known revision of the store.

    :ivar known: Whether a state has been applied. Until then nothing is known, which
        differs from knowing that no domain is evacuated.
    :ivar since: The evacuated domains, each with the revision from which on this
        process has known it to be evacuated.
    :ivar changes: How often the set of domains has changed; the first state counts.
    :ivar on_update: Called after each state that was applied, with whether the set of
        domains has changed.
    """

    __slots__ = ("revision", "known", "since", "changes", "on_update")

    def __init__(self):
        self.revision = 0
        self.known = False
        self.since: dict[str, int] = {}
        self.changes = 0
        self.on_update: Callable[[bool], None] = lambda is_changed: None

    @property
    def domains(self) -> list[str]:
        """The evacuated domains in a fixed order."""
        return sorted(self.since)

    def offer(self, revision: int, domains: Iterable[str], source: str) -> bool:
        """Apply a state if it is newer than the current one.

        :param source: Where the state comes from, for the log.
        :return: Whether it was applied.
        """
        if self.known and revision <= self.revision:
            return False
        self._apply(revision, set(domains), source)
        return True

    def record_read(
        self, revision: int, domains: set[str], known_revision: int
    ) -> None:
        """Apply a complete read of the store.

        A revision below the one that was known when the read began shows that the store
        was restored from an older state. Its orders are then followed in addition to
        the known ones: whether a missing order has been withdrawn or lost is not known
        before the store's revision exceeds the known one.

        :param known_revision: The ``revision`` when the read began.
        """
        if self.offer(revision, domains, "store") or revision >= known_revision:
            return
        logger.bind(revision=revision, known_revision=known_revision).warning(
            "the store was set back; evacuations are only added until it catches up"
        )
        self.add_restored(domains)

    def add_restored(self, domains: Iterable[str]) -> None:
        """Add domains that a store which was set back has as evacuated."""
        if not self.since.keys() >= set(domains):
            added = self.since.keys() | set(domains)
            self._apply(self.revision + 1, added, "restored store")

    def record_change(self, domain: str, is_evacuated: bool, revision: int) -> None:
        """Apply a change of one domain that the store has reported.

        Several changes may have the same revision, and one that is already part of the
        state may be repeated.
        """
        if not self.known or revision < self.revision:
            return
        domains = set(self.since) - {domain}
        if is_evacuated:
            domains.add(domain)
        self._apply(revision, domains, "store")

    def assume_none(self, source: str) -> None:
        """Take no domain to be evacuated until a state arrives.

        :param source: The daemon whose plan is used without such a state.
        """
        if not self.known:
            logger.warning(
                "no evacuations known: {} does not state them; none assumed", source
            )
            self._apply(0, set(), source)

    def encode(self) -> bytes:
        """Return the domains as a document for other entries."""
        return msgspec.json.encode(self.domains)

    def _apply(self, revision: int, domains: set[str], source: str) -> None:
        added, removed = domains - self.since.keys(), self.since.keys() - domains
        is_changed = bool(added or removed or not self.known)
        self.known = True
        self.revision = revision
        self.changes += is_changed
        for domain in sorted(added):
            self.since[domain] = revision
            logger.bind(domain=domain, revision=revision, source=source).info(
                "domain {} evacuated at revision {}, from {}", domain, revision, source
            )
        for domain in sorted(removed):
            del self.since[domain]
            logger.bind(domain=domain, revision=revision, source=source).info(
                "domain {} taken back at revision {}, from {}", domain, revision, source
            )
        self.on_update(is_changed)


def decode_domains(data: bytes) -> list[str]:
    """Decode the document of another entry.

    :raises InvalidInput: If it is malformed.
    """
    try:
        return msgspec.json.decode(data, type=list[str])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidInput(f"malformed evacuations: {error}", "pull") from None


def domain_of_key(key: str, prefix: str) -> str:
    """Return the domain that a key of an evacuation names; ``""`` if it names none.

    The value of the key is not considered: its presence is the order. A name that no
    daemon is known to have is valid, as the daemons of a domain may still be unknown.
    """
    domain = key.removeprefix(prefix)
    if not domain or "/" in domain or len(domain) > MAX_DOMAIN_LENGTH:
        logger.warning("evacuation {!r} ignored: it names no failure domain", key)
        return ""
    return domain


def evacuated_by(keys: Iterable[str], prefix: str) -> Iterator[str]:
    """Return the domains that the keys below a prefix name."""
    for key in keys:
        if key.startswith(prefix):
            domain = domain_of_key(key, prefix)
            if domain:
                yield domain
