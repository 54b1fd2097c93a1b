"""Tenants: who may send requests, how many and how urgent they are."""

import typing

from shallotwharf.components.tables import const, route
from shallotwharf.core import digest

# The tenant has no priority of its own.
NO_RANK: typing.Final = -1
# Lower priorities than this are equal.
MAX_RANK: typing.Final = 255


class Tenant(digest.SharedRecord):
    """A customer with its own keys, quota and priority.

    Attributes:
        name: unique name, which upstreams receive with each request.
        key_digests: sorted digests of its keys, see `core.credentials`.
        rank: rank of its requests, 0 is served first; `NO_RANK` if that of
            the route decides.
        rate_per_second: requests a second over all nodes; 0 for no limit.
        burst: requests beyond the rate that may arrive together.
        regions: regions in which its requests may be served, sorted; empty
            for all.
    """

    __slots__ = (
        'name',
        'key_digests',
        'rank',
        'rate_per_second',
        'burst',
        'regions',
    )

    def __init__(
        self,
        name: str,
        key_digests: tuple[bytes, ...],
        rank: int = NO_RANK,
        rate_per_second: float = 0,
        burst: float = 0,
        regions: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.rank = rank
        self.rate_per_second = float(rate_per_second)
        self.burst = float(burst)
        self.regions = regions


def compute_rank(owner: Tenant | None, called: route.Route) -> int:
    """Return the rank of a call; 0 is served first.

    The priority of the tenant decides, that of the route among equal ones.
    Without a priority of a tenant, the rank of the route takes its place.
    """
    step = len(const.PRIORITIES)
    first = called.rank
    if owner is not None and owner.rank != NO_RANK:
        first = owner.rank
    return first * step + called.rank
