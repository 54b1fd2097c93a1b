"""Messages about crashes of upstreams."""

from shallotwharf.core import messages


@messages.register('poison.crash_seen')
class CrashSeen(messages.Message):
    """An upstream crashed while these requests were running; gossiped.

    Attributes:
        node: the node beside the upstream.
        crash: sequence number of the crash in a run of that node, from 1.
        digests: digests of the requests, see `calls.Request.compute_identity`.
        run: random name of the run of the node; empty until it is gossiped.
        latest: the digest of the request that began last; empty if unknown.
    """

    __slots__ = ('node', 'crash', 'digests', 'run', 'latest')

    def __init__(
        self,
        node: str,
        crash: int,
        digests: tuple[bytes, ...],
        run: str = '',
        latest: bytes = b'',
    ) -> None:
        self.node = node
        self.crash = crash
        self.digests = digests
        self.run = run
        self.latest = latest


@messages.register('poison.completed')
class Completed(messages.Message):
    """An upstream completed a request that was running in crashes; gossiped."""

    __slots__ = ('digest',)

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
