"""Directory records that another writer has overwritten."""

from emulator.stores import StoredItem, StoreEmulator


class OverwrittenRecords:
    """Overwrites records in the store and sets them back to what their owners wrote.

    The same record may be overwritten again before it is set back.
    """

    def __init__(self, store: StoreEmulator):
        self.store = store
        self.foreign: set[bytes] = set()
        self.own: dict[str, StoredItem] = {}
        self.first: dict[str, bytes] = {}

    def own_value(self, key: str) -> bytes | None:
        """Return what the owner of a record wrote last; None without a record."""
        item = self.store.items.get(key)
        if item is not None and item.value not in self.foreign:
            self.own[key] = item
            self.first.setdefault(key, item.value)
            return item.value
        return self.own[key].value if item is not None else None

    def overwrite(self, key: str, value: bytes) -> None:
        """Overwrite a record under the lease of its owner."""
        if self.own_value(key) is not None and value != self.own[key].value:
            self.foreign.add(value)
            self.store.put(key, value, self.own[key].lease)

    def set_back(self, key: str) -> None:
        """Set a record back if it is overwritten now; remove it without a lease."""
        item = self.store.items.get(key)
        if item is None or item.value not in self.foreign:
            return
        if self.own[key].lease in self.store.leases:
            self.store.put(key, self.own[key].value, self.own[key].lease)
        else:
            self.store.remove(key)
