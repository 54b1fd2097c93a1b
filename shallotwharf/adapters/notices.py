"""Log lines about clients that give way, bounded in volume."""

import typing

from shallotwharf.core import clock, logs

# At most one line for each port and reason in this time.
_PERIOD_MS: typing.Final = clock.SECOND_MS


class Notices:
    """Logs which clients were refused or closed, and what they held.

    A crowd gives way thousands of times a second. Each line therefore stands
    for all clients of a port since the line before it.
    """

    __slots__ = ('_clock', '_written_at', '_left_out')

    def __init__(self, process_clock: clock.Clock) -> None:
        self._clock = process_clock
        self._written_at: dict[tuple[str, str], int] = {}
        self._left_out: dict[tuple[str, str], int] = {}

    def write(self, port: str, reason: str, held_bytes: int, peer: str) -> None:
        """Log a client that gave way, or count it for the next line.

        Args:
            port: name of the port that the client uses.
            reason: why it gave way; the counter `inbound.REASON` has its
                number.
            held_bytes: memory that is released.
            peer: IP address of the client; empty if it is not known.
        """
        topic = (port, reason)
        now = self._clock.read()
        last = self._written_at.get(topic)
        if last is not None and now - last < _PERIOD_MS:
            self._left_out[topic] = self._left_out.get(topic, 0) + 1
            return
        self._written_at[topic] = now
        logs.warn(
            'client_gave_way',
            port=port,
            peer=peer,
            reason=reason,
            held_bytes=held_bytes,
            others=self._left_out.pop(topic, 0),
        )
