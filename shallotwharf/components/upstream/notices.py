"""What an upstream states about itself in its responses."""

from shallotwharf.components.upstream import const
from shallotwharf.core import effects, upstream_notices


class Notices:
    """The latest notice of the upstream beside this node."""

    __slots__ = ('_latest',)

    def __init__(self) -> None:
        self._latest = upstream_notices.UpstreamNotice()

    def record(
        self,
        notice: upstream_notices.UpstreamNotice,
        running: int,
        admitted: int,
    ) -> list[effects.Effect]:
        """Store the notice of a response; log it if it is a new one.

        Args:
            notice: the notice.
            running: number of running requests.
            admitted: number of requests admitted so far.
        """
        counted: list[effects.Effect] = []
        if notice.is_load_invalid:
            counted.append(effects.Count(const.COUNTER_LOAD_INVALID))
        stated = upstream_notices.UpstreamNotice(
            notice.rate_limit, notice.is_leaving
        )
        if notice.is_load_only or stated == self._latest:
            return counted
        self._latest = stated
        return [
            *counted,
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
