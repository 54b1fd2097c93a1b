"""Tenants of one version by their keys."""

from collections import abc

from shallotwharf.components.tables import tenant


class Keyring:
    """Index of tenants by the digests of their keys.

    Attributes:
        is_required: whether calls on routes that are not public need a key.
    """

    __slots__ = ('is_required', '_tenants')

    def __init__(self, rows: abc.Iterable[tenant.Tenant] = ()) -> None:
        self._tenants = {
            digest: row for row in rows for digest in row.key_digests
        }
        self.is_required = bool(self._tenants)

    def find(self, key_digest: bytes) -> tenant.Tenant | None:
        """Return the tenant that holds a key; None if none does."""
        return self._tenants.get(key_digest)
