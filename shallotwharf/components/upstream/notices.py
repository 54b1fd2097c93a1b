"""What an upstream states about itself in its responses."""

from shallotwharf.components.upstream import const
from shallotwharf.core import calls, effects


class Notices:
    """The latest notice of the upstream beside this node."""

    __slots__ = ('_latest',)

    def __init__(self) -> None:
        self._latest = calls.UpstreamNotice()

    def record(
        self,
        notice: calls.UpstreamNotice,
        running: int,
        admitted: int,
    ) -> list[effects.Effect]:
        """Store the notice of a response; log it if it is a new one.

        Args:
            notice: the notice.
            running: number of running requests.
            admitted: number of requests admitted so far.
        """
        if notice == self._latest:
            return []
        self._latest = notice
        return [
            effects.Report(
                const.EVENT_NOTICE,
                {
                    'limit': notice.rate_limit,
                    'leaving': notice.is_leaving,
                    'running': running,
                    'admitted': admitted,
                },
                is_call=True,
            ),
        ]
