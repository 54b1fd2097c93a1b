"""Bytes sent to other processes, by message and distance."""

import typing

from shallotwharf.core import counters, locations

_DATACENTRE: typing.Final = 'datacentre'
_REGION: typing.Final = 'region'
_REMOTE: typing.Final = 'remote'
_UNKNOWN: typing.Final = 'unknown'


class Traffic:
    """Counts what one process sends to its peers.

    Args:
        local: where the process runs.
        process_counters: counters of the process.
    """

    __slots__ = ('_local', '_counters')

    def __init__(
        self,
        local: locations.Location,
        process_counters: counters.Counters,
    ) -> None:
        self._local = local
        self._counters = process_counters

    def record(self, tag: str, size: int, peer: locations.Location) -> None:
        """Count a message of `size` bytes on the wire."""
        distance = measure_distance(self._local, peer)
        self._counters.add('links.bytes_sent', size)
        self._counters.add(f'links.sent_bytes.{distance}.{tag}', size)
        self._counters.add(f'links.sent_messages.{distance}.{tag}')


def measure_distance(
    local: locations.Location,
    peer: locations.Location,
) -> str:
    """Return whether a peer is in the same data centre, region or neither."""
    if not local.datacentre or not peer.datacentre:
        return _UNKNOWN
    if local.datacentre == peer.datacentre:
        return _DATACENTRE
    return _REGION if local.region == peer.region else _REMOTE
