"""Limits of what callers may send."""

import typing

from shallotwharf.core import records


class ClientLimits(records.Record):
    """Limits that the operators set; 0 stands for the default of a node.

    Attributes:
        head_bytes: largest head of a request in bytes.
        body_bytes: largest body of a request in bytes.
        head_timeout_ms: time from the first byte of a head to its last.
        idle_timeout_ms: time for which a connection may be idle.
    """

    __slots__ = (
        'head_bytes',
        'body_bytes',
        'head_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        head_bytes: int = 0,
        body_bytes: int = 0,
        head_timeout_ms: int = 0,
        idle_timeout_ms: int = 0,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_ms = head_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


DEFAULT: typing.Final = ClientLimits()
