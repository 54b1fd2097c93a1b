"""Whether the data centre of a gate is evacuated."""

from shallotwharf.components.tables import version


class Evacuation:
    """The evacuation of one data centre.

    Attributes:
        is_active: whether the current version evacuates the data centre.
    """

    __slots__ = ('is_active', '_datacentre')

    def __init__(self, datacentre: str) -> None:
        self.is_active = False
        self._datacentre = datacentre

    def apply(self, applied: version.Version) -> bool:
        """Apply a version; return whether an evacuation begins."""
        was_active = self.is_active
        self.is_active = self._datacentre in applied.evacuated
        return self.is_active and not was_active
