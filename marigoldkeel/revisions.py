"""A register that keeps the highest revision of a document it was offered."""

from typing import Any


class RevisionRegister:
    """The newest known revision of one document. Pure; it does no I/O.

    Promise: ``revision`` never falls, and ``document`` is always the one offered
    with ``revision``. Offers may be repeated, late and in any order; registers
    that were offered the same revisions hold the same document.

    Assumptions: one compare-and-swap register assigns the revisions, so that two
    different documents never carry the same one, and revisions start at 1. No
    clock is used and no offer needs to arrive in time.

    >>> register = RevisionRegister()
    >>> register.ready
    False
    >>> register.offer(2, "second"), register.offer(1, "first")
    (True, False)
    >>> register.ready, register.revision, register.document
    (True, 2, 'second')
    """

    __slots__ = ("document", "revision")

    def __init__(self):
        self.revision = 0
        self.document: Any = None

    @property
    def ready(self) -> bool:
        """Whether any revision has been applied."""
        return self.revision > 0

    def offer(self, revision: int, document: Any) -> bool:
        """Apply ``document`` if its revision is higher than the current one.

        :return: Whether it was applied.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        self.document = document
        return True
