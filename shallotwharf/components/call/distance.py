"""Network latency between nodes by their location."""

from shallotwharf.components.call import const
from shallotwharf.components.membership import messages as membership


def estimate_latency_ms(
    local: membership.Member,
    other: membership.Member,
) -> int:
    """Return the one-way latency between two nodes by their location."""
    if local.datacentre == other.datacentre:
        return 0
    if local.region == other.region:
        return const.REGION_LATENCY_MS
    return const.REMOTE_LATENCY_MS
