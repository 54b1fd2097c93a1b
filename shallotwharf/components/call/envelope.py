"""What the node that chose an upstream tells the node beside it."""

import functools
import typing
from urllib import parse as percent

from shallotwharf.core import numbers, records

# Releases before tenants sent only the first four parts.
_FIRST_PARTS: typing.Final = 4
_ALL_PARTS: typing.Final = 8
_CACHED_NAMES: typing.Final = 4096


class Envelope(records.Record):
    """Description of a forwarded call; times are relative, in milliseconds.

    Attributes:
        rank: priority in the queue of the gate; 0 is served first.
        service: service that was chosen.
        version: version of the service that was chosen.
        start_ms: time left until the latest start; 0 for no limit.
        aim_ms: time left until the response loses value; 0 if unknown. A
            negative one has passed.
        work_ms: usual run time of such a request; 0 if unknown.
        route: name of the route; empty if unknown.
        tenant: name of the caller's tenant; empty if it has none.
    """

    __slots__ = (
        'rank',
        'service',
        'version',
        'start_ms',
        'aim_ms',
        'work_ms',
        'route',
        'tenant',
    )

    def __init__(
        self,
        rank: int,
        service: str,
        version: str,
        start_ms: int = 0,
        aim_ms: int = 0,
        work_ms: int = 0,
        route: str = '',
        tenant: str = '',
    ) -> None:
        self.rank = rank
        self.service = service
        self.version = version
        self.start_ms = start_ms
        self.aim_ms = aim_ms
        self.work_ms = work_ms
        self.route = route
        self.tenant = tenant

    def encode(self) -> str:
        """Return the value of the `Shallotwharf-Forwarded` header."""
        return ' '.join(
            (
                str(self.rank),
                _quote(self.service),
                _quote(self.version),
                f'{self.start_ms} {self.aim_ms} {self.work_ms}',
                _quote(self.route),
                _quote(self.tenant),
            )
        )


def decode(text: str) -> Envelope | None:
    """Return the envelope of a header; None if it is not valid."""
    parts = text.split(' ')
    if len(parts) == _FIRST_PARTS:
        parts.extend(('0', '0', '', ''))
    if len(parts) != _ALL_PARTS:
        return None
    rank = numbers.parse_count(parts[0])
    start_ms = numbers.parse_count(parts[3])
    work_ms = numbers.parse_count(parts[5])
    aim_ms = _parse_signed(parts[4])
    if rank is None or start_ms is None or work_ms is None or aim_ms is None:
        return None
    if '%' in text:
        parts = [percent.unquote(part) for part in parts]
    return Envelope(
        rank,
        parts[1],
        parts[2],
        start_ms,
        aim_ms,
        work_ms,
        parts[6],
        parts[7],
    )


# Each node names the same services, versions, routes and tenants again and
# again.
@functools.lru_cache(_CACHED_NAMES)
def _quote(name: str) -> str:
    return percent.quote(name, safe='')


def _parse_signed(text: str) -> int | None:
    magnitude = numbers.parse_count(text.removeprefix('-'))
    if magnitude is None or not text.startswith('-'):
        return magnitude
    return -magnitude
