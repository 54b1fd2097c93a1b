"""Listening socket whose close resets no connection.

`asyncio.Server` closes its socket with connections in its queue, which resets
them, and drops connections that it accepted in the step before.
"""

import asyncio
import errno
import socket
import typing
from collections import abc

from shallotwharf.core import errors, logs

BACKLOG: typing.Final = 1024
# Connections accepted in one pass of the loop. Those that give way to them are
# closed in the next passes, and have their descriptors until then.
MAX_ACCEPTED: typing.Final = 8
# Pause after an error that would occur again at once, like a lack of
# descriptors.
_RETRY_SECONDS: typing.Final = 0.1
_TEMPORARY: typing.Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
)


class Listener:
    """Accepts connections and creates the protocol of each."""

    __slots__ = ('_make_protocol', '_loop', '_socket', '_tasks', '_timer')

    def __init__(
        self,
        make_protocol: abc.Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
    ) -> None:
        """Listen on an IP address; must be called on the loop.

        Raises:
            LinkError: if the address cannot be bound.
        """
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._socket = bind(host, port, 'inbound.listen')
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(self._socket, self._accept_some)

    def find_port(self) -> int:
        """Return the port that it listens on."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Stop listening, and accept the connections that are in the queue."""
        if self._socket.fileno() < 0:
            return
        self._accept_queued()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept_some(self) -> None:
        for _ in range(MAX_ACCEPTED):
            if not self._accept():
                return

    def _accept_queued(self) -> None:
        for _ in range(BACKLOG):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept a connection; return False if there is none."""
        try:
            accepted, _ = self._socket.accept()
        except OSError as error:
            if error.errno in _TEMPORARY:
                self._pause(error)
            return False
        accepted.setblocking(False)
        task = self._loop.create_task(self._async_connect(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _async_connect(self, accepted: socket.socket) -> None:
        await self._loop.connect_accepted_socket(self._make_protocol, accepted)

    def _pause(self, error: OSError) -> None:
        logs.warn('accept_failed', error=error.strerror)
        self._loop.remove_reader(self._socket)
        self._timer = self._loop.call_later(
            _RETRY_SECONDS,
            self._loop.add_reader,
            self._socket,
            self._accept_some,
        )


def bind(host: str, port: int, step: str) -> socket.socket:
    """Return a socket that listens on an IP address.

    Raises:
        LinkError: with the step, if the address cannot be bound.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    try:
        bound = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
    except OSError as error:
        raise errors.LinkError(
            f'cannot listen: {error.strerror}',
            step,
            f'{host}:{port}',
        ) from error
    bound.setblocking(False)
    return bound
