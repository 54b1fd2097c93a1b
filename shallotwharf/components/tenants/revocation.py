"""Strict revocation: no keys are accepted without contact with control."""

import typing

from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.tenants import const
from shallotwharf.core import access_interfaces, aggregate, effects
from shallotwharf.core import messages as core_messages

_LOST: typing.Final = 'lost'


class ControlContact(aggregate.Aggregate, access_interfaces.KeyTrust):
    """Knows since when control has not been heard.

    A key may have been revoked meanwhile, so that calls that need one are
    refused as not run. Only statuses of processes count that have contact with
    a majority: any other one may be cut off itself.
    """

    __slots__ = ('_limit_ms', '_heard_at', '_is_lost')

    name = 'key_trust'
    handlers: typing.ClassVar = {
        delivery.SourceHeard: 'record_contact',
        core_messages.TimerFired: 'check_contact',
    }

    def __init__(self, limit_ms: int) -> None:
        """Create the aggregate.

        Args:
            limit_ms: time without contact after which keys are refused.
        """
        self._limit_ms = limit_ms
        self._heard_at = 0
        self._is_lost = False

    def start(self, now: int) -> list[effects.Effect]:
        """Count the time from the start."""
        self._heard_at = now
        return [self._set_timer()]

    def trusts_keys(self, now: int) -> bool:
        """Return whether control was heard within the limit."""
        return now - self._heard_at < self._limit_ms

    def record_contact(
        self,
        message: delivery.SourceHeard,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Record that control was heard."""
        silent_ms = now - self._heard_at
        self._heard_at = now
        if not self._is_lost:
            return []
        self._is_lost = False
        fields = {'source': message.source, 'silent_ms': silent_ms}
        return [
            effects.Report(const.EVENT_HEARD, fields),
            self._set_timer(),
        ]

    def check_contact(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Log the loss of control, or wait for it again."""
        if self.trusts_keys(now):
            return [self._set_timer()]
        self._is_lost = True
        fields = {'silent_ms': now - self._heard_at}
        return [
            effects.Count(const.COUNTER_LOST),
            effects.Report(const.EVENT_LOST, fields),
        ]

    def _set_timer(self) -> effects.Effect:
        return effects.SetTimer(_LOST, self._heard_at + self._limit_ms)
