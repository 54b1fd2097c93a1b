"""The data centres that the platform names in the settings of control."""

from collections import abc

from shallotwharf.core import records


class Sites(records.Record):
    """Data centres and their regions.

    Attributes:
        regions: region by data centre; empty if the platform names none,
            then any name of a data centre or region is accepted.
    """

    __slots__ = ('regions',)

    def __init__(self, regions: abc.Mapping[str, str]) -> None:
        self.regions = regions

    def list_datacentres(self) -> tuple[str, ...]:
        """Return the names of all data centres, sorted."""
        return tuple(sorted(self.regions))

    def has_datacentre(self, name: str) -> bool:
        """Return whether a data centre may exist."""
        return not self.regions or name in self.regions

    def find_unknown(self, regions: abc.Iterable[str]) -> tuple[str, ...]:
        """Return the regions without a data centre, sorted."""
        if not self.regions:
            return ()
        return tuple(sorted(set(regions).difference(self.regions.values())))


UNKNOWN = Sites({})
