"""Limits of callers from the version in force."""

import typing

from shallotwharf.adapters import limits
from shallotwharf.components.tables import messages as tables
from shallotwharf.core import aggregate, effects


class ClientLimitsListener(aggregate.Aggregate):
    """Sets the limits of the call servers when a version is applied."""

    __slots__ = ('_limits',)

    name = 'client_limits'
    handlers: typing.ClassVar = {tables.VersionApplied: 'apply_version'}

    def __init__(self, *server_limits: limits.ServerLimits) -> None:
        self._limits = server_limits

    def start(self, now: int) -> list[effects.Effect]:
        """Do nothing until a version is applied."""
        return []

    def apply_version(
        self,
        message: tables.VersionApplied,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the limits of the version."""
        chosen = message.applied.tables.limits
        for changed in self._limits:
            changed.apply(
                chosen.head_bytes,
                chosen.body_bytes,
                chosen.head_timeout_ms,
                chosen.idle_timeout_ms,
            )
        return []
