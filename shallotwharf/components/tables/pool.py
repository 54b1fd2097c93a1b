"""Row of the table of pools."""

from collections import abc

from shallotwharf.components.tables import const
from shallotwharf.core import digest, records


class MoveDeclaration(records.Record):
    """An operator's request to move a pool to a new version by a given time.

    Attributes:
        to_version: version of the service that takes over.
        due_at: when the new version must serve all traffic, in milliseconds
            since the epoch.
    """

    __slots__ = ('to_version', 'due_at')

    def __init__(self, to_version: str, due_at: int) -> None:
        self.to_version = to_version
        self.due_at = due_at


class Pool(digest.SharedRecord):
    """A named set of upstreams: those of a service at given versions.

    Attributes:
        name: unique name.
        service: service that the upstreams announce.
        weights: percentage of traffic by version; the sum is 100. Empty if
            all versions of the service take the traffic.
        slow_ms: a response that takes longer than this counts as slow.
        move: declared move; None if there is none.
        health_path: path at which an upstream reports its health; empty if
            it has none.
        cold_start_ms: time for which an upstream is cold after its start.
        cold_per_second: requests a second that a cold upstream tolerates; 0
            for no limit.
    """

    __slots__ = (
        'name',
        'service',
        'weights',
        'slow_ms',
        'move',
        'health_path',
        'cold_start_ms',
        'cold_per_second',
    )

    added_defaults = ('', 0, 0)

    def __init__(
        self,
        name: str,
        service: str,
        weights: abc.Mapping[str, int],
        slow_ms: int = const.DEFAULT_SLOW_MS,
        move: MoveDeclaration | None = None,
        health_path: str = '',
        cold_start_ms: int = 0,
        cold_per_second: float = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.weights = weights
        self.slow_ms = slow_ms
        self.move = move
        self.health_path = health_path
        self.cold_start_ms = cold_start_ms
        self.cold_per_second = float(cold_per_second)
