"""Regions in which a call may be served."""

import typing

from shallotwharf.components.call import const, targets
from shallotwharf.components.tables import route, tenant

# Names of the allowed regions; None allows all of them.
Regions: typing.TypeAlias = frozenset[str] | None

ANYWHERE: typing.Final[Regions] = None


def find_regions(called: route.Route, owner: tenant.Tenant | None) -> Regions:
    """Return the regions that both the route and the caller's tenant allow.

    The result is empty if the two have no region in common.

    Args:
        called: route of the call.
        owner: tenant of the caller; None if it has none.
    """
    owned = owner.regions if owner is not None else ()
    if not called.regions:
        return frozenset(owned) if owned else ANYWHERE
    if not owned:
        return frozenset(called.regions)
    return frozenset(called.regions).intersection(owned)


def filter_groups(
    groups: list[targets.Group],
    regions: Regions,
) -> list[targets.Group]:
    """Return the groups in allowed regions, in the same order."""
    if regions is None:
        return groups
    return [group for group in groups if _read_region(group) in regions]


def find_shortage_reason(regions: Regions) -> str:
    """Return the reason to refuse a call for which there is no upstream."""
    if regions is None:
        return const.REASON_NO_UPSTREAM
    return const.REASON_REGION


def _read_region(group: targets.Group) -> str:
    # All targets of a group are in one data centre.
    return group.targets[0].announcement.node.region
