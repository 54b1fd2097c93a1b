"""Messages that change what the gate offers, whatever runs or waits."""

import types
import typing

from shallotwharf.components.call import messages as call
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.components.upstream import offer, tracker
from shallotwharf.core import messages


def apply(
    message: messages.Message,
    offered: offer.Offer,
    tracked: tracker.RequestTracker,
    now: int,
) -> None:
    """Apply a message of one of the types in the table below."""
    _APPLY[type(message)](message, offered, tracked, now)


def _apply_stop(
    message: call.StopBegan,
    offered: offer.Offer,
    _tracked: tracker.RequestTracker,
    _now: int,
) -> None:
    """Refuse new attempts that may not end before the process does."""
    offered.limit(message.ends_at)


def _apply_health(
    message: upstream.HealthReported,
    _offered: offer.Offer,
    tracked: tracker.RequestTracker,
    now: int,
) -> None:
    """Pass on the endpoint's status, which can only eject the upstream."""
    tracked.health.apply_endpoint_status(message.healthy, now)


def _apply_probe(
    message: upstream.ProbeAnswered,
    offered: offer.Offer,
    tracked: tracker.RequestTracker,
    now: int,
) -> None:
    """Learn whether the upstream is cold, and what it runs."""
    offered.apply_probe(message, len(tracked.running), now)


_APPLY: typing.Final[typing.Any] = types.MappingProxyType(
    {
        call.StopBegan: _apply_stop,
        upstream.HealthReported: _apply_health,
        upstream.ProbeAnswered: _apply_probe,
    },
)
