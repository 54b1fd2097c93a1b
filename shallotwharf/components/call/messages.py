"""Messages to the call router from its own process."""

from shallotwharf.core import messages


@messages.register('call.stop_began')
class StopBegan(messages.Message):
    """The node shuts down.

    Attributes:
        notice_until: until this time callers have not noticed the shutdown,
            and all calls are taken.
        latest_deadline_at: latest deadline of the calls that are taken
            afterwards.
        ends_at: when calls in flight are no longer waited for.

    All times are clock milliseconds.
    """

    __slots__ = ('notice_until', 'latest_deadline_at', 'ends_at')

    def __init__(
        self, notice_until: int, latest_deadline_at: int, ends_at: int
    ) -> None:
        self.notice_until = notice_until
        self.latest_deadline_at = latest_deadline_at
        self.ends_at = ends_at
