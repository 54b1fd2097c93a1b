"""Messages to the call router from its own process."""

from shallotwharf.core import messages


@messages.register('call.stop_began')
class StopBegan(messages.Message):
    """The node shuts down.

    Attributes:
        notice_until: until this time callers have not noticed the shutdown,
            in clock milliseconds.
        ends_at: when calls in flight are no longer waited for, in clock
            milliseconds.
    """

    __slots__ = ('notice_until', 'ends_at')

    def __init__(self, notice_until: int, ends_at: int) -> None:
        self.notice_until = notice_until
        self.ends_at = ends_at
