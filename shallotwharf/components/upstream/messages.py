"""What an upstream tells the node beside it."""

from shallotwharf.core import messages


@messages.register('upstream.started')
class UpstreamStarted(messages.Message):
    """An upstream is ready to serve; may be repeated.

    Attributes:
        service: name of the service.
        version: version of the service.
        host: IP number it listens on.
        port: port it listens on.
        slots: requests it runs at once.
        warmup_ms: time in which the offered slots grow to all.
        instance: differs after each start of the upstream; a repeated
            announcement with the same one does not start a warm-up.
    """

    __slots__ = (
        'service',
        'version',
        'host',
        'port',
        'slots',
        'warmup_ms',
        'instance',
    )

    def __init__(
        self,
        service: str,
        version: str,
        host: str,
        port: int,
        slots: int,
        warmup_ms: int,
        instance: str,
    ) -> None:
        self.service = service
        self.version = version
        self.host = host
        self.port = port
        self.slots = slots
        self.warmup_ms = warmup_ms
        self.instance = instance


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
