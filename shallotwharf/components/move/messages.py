"""Events of moves that other components use."""

from shallotwharf.core import messages


@messages.register('move.fence_raised')
class FenceRaised(messages.Message):
    """A version of a service gets no more traffic in a pool.

    Gossiped everywhere and sent to control; it needs no agreement.

    Attributes:
        move_id: the move that is taken back.
        pool: name of the pool.
        version: version of the service that is fenced.
        reason: the evidence, one line.
        origin: node that raised it.
    """

    __slots__ = ('move_id', 'pool', 'version', 'reason', 'origin')

    def __init__(
        self,
        move_id: str,
        pool: str,
        version: str,
        reason: str,
        origin: str,
    ) -> None:
        self.move_id = move_id
        self.pool = pool
        self.version = version
        self.reason = reason
        self.origin = origin
