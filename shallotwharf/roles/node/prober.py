"""Connects the gate with the adapter that probes its upstream."""

import functools

from shallotwharf.adapters import health_probe
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.core import (
    aggregate,
    call_interfaces,
    dispatcher,
    effects,
)


class Prober(aggregate.Aggregate):
    """Sends the probes of the gate and delivers their results."""

    __slots__ = ('_probe', '_dispatcher')

    name = 'prober'
    handlers = {upstream.ProbeRequested: 'send'}

    def __init__(
        self,
        probe: health_probe.HealthProbe,
        process_dispatcher: dispatcher.Dispatcher,
    ) -> None:
        self._probe = probe
        self._dispatcher = process_dispatcher

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects: the gate asks for probes."""
        return []

    def send(
        self,
        message: upstream.ProbeRequested,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Send a probe."""
        self._probe.send(
            message.request,
            functools.partial(self._receive, message.request.number),
        )
        return []

    def _receive(
        self, number: int, answer: call_interfaces.HealthAnswer
    ) -> None:
        self._dispatcher.deliver(
            upstream.ProbeAnswered(number, answer.cold_ms, answer.load),
            self._dispatcher.name,
        )
