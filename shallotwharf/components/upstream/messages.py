"""What an upstream tells the node beside it."""

from shallotwharf.core import call_interfaces, messages


@messages.register('upstream.started')
class UpstreamStarted(messages.Message):
    """An upstream is ready to serve; may be repeated.

    A repeated description with the same `instance` starts no warm-up.
    """

    __slots__ = ('description',)

    def __init__(
        self, description: call_interfaces.UpstreamDescription
    ) -> None:
        self.description = description


@messages.register('upstream.reported')
class UpstreamReported(messages.Message):
    """The upstream said how it is; the message may be late."""

    __slots__ = ('report',)

    def __init__(self, report: call_interfaces.UpstreamReport) -> None:
        self.report = report


@messages.register('upstream.ended')
class UpstreamEnded(messages.Message):
    """An instance of the upstream leaves for good.

    Attributes:
        instance: the instance.
        started_at: when it started; 0 if it did not say.
    """

    __slots__ = ('instance', 'started_at')

    def __init__(self, instance: str, started_at: int) -> None:
        self.instance = instance
        self.started_at = started_at


@messages.register('upstream.drain_requested')
class DrainRequested(messages.Message):
    """The upstream takes no new work, but finishes what it runs."""

    __slots__ = ()


@messages.register('upstream.left')
class UpstreamLeft(messages.Message):
    """The upstream is gone."""

    __slots__ = ()


@messages.register('upstream.health_reported')
class HealthReported(messages.Message):
    """What the upstream's health endpoint says."""

    __slots__ = ('healthy',)

    def __init__(self, healthy: bool) -> None:
        self.healthy = healthy
