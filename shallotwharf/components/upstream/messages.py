"""Messages from an upstream to the node beside it."""

from shallotwharf.core import call_interfaces, messages, upstream_notices


@messages.register('upstream.started')
class UpstreamStarted(messages.Message):
    """An upstream is ready to serve; may be repeated.

    Repeating the same description does not start another warm-up.
    """

    __slots__ = ('description',)

    def __init__(
        self, description: call_interfaces.UpstreamDescription
    ) -> None:
        self.description = description


@messages.register('upstream.reported')
class UpstreamReported(messages.Message):
    """State reported by the upstream; may arrive late."""

    __slots__ = ('report',)

    def __init__(self, report: call_interfaces.UpstreamReport) -> None:
        self.report = report


@messages.register('upstream.ended')
class UpstreamEnded(messages.Message):
    """An instance of the upstream leaves permanently.

    Attributes:
        instance: the instance.
        started_at: start of the instance, in milliseconds since the epoch; 0
            if unknown.
    """

    __slots__ = ('instance', 'started_at')

    def __init__(self, instance: str, started_at: int) -> None:
        self.instance = instance
        self.started_at = started_at


@messages.register('upstream.drain_requested')
class DrainRequested(messages.Message):
    """The upstream accepts no new requests, but finishes running ones."""

    __slots__ = ()


@messages.register('upstream.left')
class UpstreamLeft(messages.Message):
    """The upstream left."""

    __slots__ = ()


@messages.register('upstream.probe_requested')
class ProbeRequested(messages.Message):
    """Request of the gate to ask an upstream whether it is cold."""

    __slots__ = ('request',)

    def __init__(self, request: call_interfaces.HealthRequest) -> None:
        self.request = request


@messages.register('upstream.probe_answered')
class ProbeAnswered(messages.Message):
    """Result of a probe.

    Attributes:
        number: number of the probe.
        remaining_ms: how long the upstream stays cold; 0 if it is warm, None
            without a valid response of its instance.
        load: its load; None if not stated.
    """

    __slots__ = ('number', 'remaining_ms', 'load')

    def __init__(
        self,
        number: int,
        remaining_ms: int | None,
        load: upstream_notices.UpstreamLoad | None = None,
    ) -> None:
        self.number = number
        self.remaining_ms = remaining_ms
        self.load = load


@messages.register('upstream.health_reported')
class HealthReported(messages.Message):
    """Status of the upstream's health endpoint."""

    __slots__ = ('healthy',)

    def __init__(self, healthy: bool) -> None:
        self.healthy = healthy
