"""State of the links to other processes."""

import asyncio

from shallotwharf.adapters import link_connection
from shallotwharf.core import locations, messages


@messages.register('link.hello')
class Hello(messages.Message):
    """First message on each connection, identifying the sender.

    The process that accepted the connection answers with its own one if the
    other reads compressed frames. Earlier releases neither read them nor
    expect an answer.

    Attributes:
        name: name of the process.
        host: IP address that it listens on.
        port: port that it listens on.
        protocol: version of the protocol between processes.
        datacentre: data centre of the process; empty if unknown.
        region: region of the process; empty if unknown.
        reads_compressed: whether it reads compressed frames.
    """

    __slots__ = (
        'name',
        'host',
        'port',
        'protocol',
        'datacentre',
        'region',
        'reads_compressed',
    )

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        protocol: int,
        datacentre: str = '',
        region: str = '',
        reads_compressed: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.protocol = protocol
        self.datacentre = datacentre
        self.region = region
        self.reads_compressed = reads_compressed

    def read_location(self) -> locations.Location:
        """Return where the sender runs."""
        return locations.Location(
            self.datacentre,
            self.region,
            self.host,
            self.port,
            0,
        )


class Opened:
    """A connection, and what the hello of the peer told about it."""

    __slots__ = ('socket', 'reads_compressed')

    def __init__(
        self,
        opened: link_connection.Link,
        reads_compressed: bool = False,
    ) -> None:
        self.socket = opened
        self.reads_compressed = reads_compressed


class Queued:
    """An encoded message that waits to be sent."""

    __slots__ = ('tag', 'encoded')

    def __init__(self, tag: str, encoded: bytes) -> None:
        self.tag = tag
        self.encoded = encoded


class Peer:
    """A peer with its connections and the messages that wait for one."""

    __slots__ = (
        'address',
        'location',
        'queue',
        'connections',
        'task',
        'opening',
        'probing',
        'open_timeout_seconds',
        'failed_attempts',
        'failed_since',
        'wakeup',
    )

    def __init__(self, open_timeout_seconds: float) -> None:
        self.address: tuple[str, int] | None = None
        self.location = locations.UNKNOWN
        self.queue: list[Queued] = []
        self.connections: list[Opened] = []
        self.task: asyncio.Task[None] | None = None
        # The attempt to connect that is under way.
        self.opening: asyncio.Task[None] | None = None
        # The check of a connection on which nothing has arrived.
        self.probing: asyncio.Task[None] | None = None
        self.open_timeout_seconds = open_timeout_seconds
        # Attempts since the last connection, and when the first one failed.
        self.failed_attempts = 0
        self.failed_since = 0
        self.wakeup = asyncio.Event()

    def record_failure(self, now: int) -> None:
        """Count an attempt to connect that failed."""
        if not self.failed_attempts:
            self.failed_since = now
        self.failed_attempts += 1
