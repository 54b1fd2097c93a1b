"""Messages about crashes of upstreams."""

from shallotwharf.core import messages


@messages.register('poison.crash_seen')
class CrashSeen(messages.Message):
    """An upstream crashed while these requests were running; gossiped.

    Attributes:
        node: the node beside the upstream.
        crash: sequence number of the crash at that node, from 1.
        digests: digests of the method, target and body of the requests.
    """

    __slots__ = ('node', 'crash', 'digests')

    def __init__(
        self,
        node: str,
        crash: int,
        digests: tuple[bytes, ...],
    ) -> None:
        self.node = node
        self.crash = crash
        self.digests = digests
