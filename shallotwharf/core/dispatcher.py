"""Delivery of messages to aggregates and execution of their effects."""

import collections
import traceback
import typing

from shallotwharf.core import (
    aggregate,
    clock,
    counters,
    effects,
    errors,
    logs,
    messages,
    ports,
    records,
)

# Steps that an error in an aggregate ended, and effects that failed alone.
STEPS_FAILED: typing.Final = 'steps.failed'
EFFECTS_FAILED: typing.Final = 'effects.failed'

_Pending: typing.TypeAlias = tuple[
    aggregate.Aggregate,
    messages.Message,
    str,
]


class Dispatcher:
    """Runs the aggregates of one process, one message at a time.

    Effects of a message run in order, before the next message is handled.
    An error in one step is logged and counted; it reaches neither the caller
    nor the messages behind it.
    A message that an effect produces goes to the end of the queue, so that no
    aggregate is entered while it handles a message. Only `StoreFailed` goes
    to the front of the queue.
    """

    __slots__ = (
        'name',
        '_clock',
        '_links',
        '_storage',
        '_timers',
        '_requests',
        '_counters',
        '_aggregates',
        '_routes',
        '_queue',
        '_draining',
        '_published',
        '_executors',
    )

    def __init__(
        self,
        name: str,
        process_clock: clock.Clock,
        links: ports.Links,
        storage: ports.Storage | None,
        timers: ports.Timers,
        requests: ports.Requests,
        process_counters: counters.Counters,
    ) -> None:
        self.name = name
        self._clock = process_clock
        self._links = links
        self._storage = storage
        self._timers = timers
        self._requests = requests
        self._counters = process_counters
        self._aggregates: dict[str, aggregate.Aggregate] = {}
        self._routes: dict[
            type[messages.Message],
            list[aggregate.Aggregate],
        ] = {}
        self._queue: collections.deque[_Pending] = collections.deque()
        self._draining = False
        # Messages that the step that is being run has published.
        self._published: list[_Pending] = []
        self._executors: dict[type[effects.Effect], typing.Any] = {
            effects.Send: self._send,
            effects.Publish: self._publish,
            effects.Store: self._store,
            effects.SetTimer: self._set_timer,
            effects.CancelTimer: self._cancel_timer,
            effects.Answer: self._answer,
            effects.Count: self._count,
            effects.Report: self._report,
        }

    def start(self, *aggregates: aggregate.Aggregate) -> None:
        """Register aggregates and run the effects of their start."""
        for registered in aggregates:
            self._aggregates[registered.name] = registered
            for message_type in registered.handlers:
                if message_type not in _SINGLE_RECEIVER:
                    self._routes.setdefault(message_type, []).append(
                        registered,
                    )
        for started in aggregates:
            self.execute(started, started.start(self._clock.read()))
        self._queue_published()
        self._drain()

    def deliver(self, message: messages.Message, sender: str) -> None:
        """Deliver a message to the aggregates that accept its type."""
        receivers = self._routes.get(type(message), ())
        if not receivers:
            self._counters.add('messages.unexpected')
        for receiver in receivers:
            self._queue.append((receiver, message, sender))
        self._drain()

    def fire_timer(self, aggregate_name: str, timer: str) -> None:
        """Notify an aggregate that its timer is due."""
        self._queue_for(
            self._aggregates[aggregate_name],
            messages.TimerFired(timer),
        )
        self._drain()

    def execute(
        self,
        source: aggregate.Aggregate,
        step: list[effects.Effect],
    ) -> None:
        """Run the effects of one step of an aggregate in order.

        A store that fails, whatever the error, ends the step; the aggregate
        rolls it back. Any other effect that fails is left out alone: the ones
        behind it belong to what is stored already.
        """
        for effect in step:
            try:
                self._executors[type(effect)](source, effect)
            except Exception as error:
                if isinstance(effect, effects.Store):
                    self._counters.add('storage.failed')
                    logs.write('storage_failed', error=error)
                    self._report_failed_step(source, error)
                    return
                self._counters.add(EFFECTS_FAILED)
                _log_fault('effect_failed', source, effect, error)

    def run(
        self,
        source: aggregate.Aggregate,
        step: list[effects.Effect],
    ) -> None:
        """Run the effects of a direct call of `source`, then the queue."""
        self.execute(source, step)
        if not self._draining:
            self._queue_published()
        self._drain()

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        try:
            self._handle_queue()
        finally:
            self._draining = False

    def _handle_queue(self) -> None:
        while self._queue:
            receiver, message, sender = self._queue.popleft()
            try:
                step = receiver.handle(message, sender, self._clock.read())
            except Exception as error:
                self._counters.add(STEPS_FAILED)
                _log_fault('step_failed', receiver, message, error)
                if not isinstance(message, messages.StoreFailed):
                    self._report_failed_step(receiver, error)
            else:
                self.execute(receiver, step)
            self._queue_published()

    def _queue_published(self) -> None:
        """Queue what a step has published before the messages that wait.

        What follows from the first message of a step is then handled before
        the second one: a component that applies commits has applied them
        before others learn that this process leads.
        """
        self._queue.extendleft(reversed(self._published))
        self._published.clear()

    def _report_failed_step(
        self,
        source: aggregate.Aggregate,
        error: Exception,
    ) -> None:
        # Handled before all queued messages: until then the state of the
        # aggregate is as if the step had succeeded.
        self._queue_published()
        if messages.StoreFailed in source.handlers:
            failed = messages.StoreFailed(str(error))
            self._queue.appendleft((source, failed, self.name))

    def _queue_for(
        self,
        receiver: aggregate.Aggregate,
        message: messages.Message,
    ) -> None:
        if type(message) in receiver.handlers:
            self._queue.append((receiver, message, self.name))

    def _send(
        self,
        source: aggregate.Aggregate,
        effect: effects.Send,
    ) -> None:
        if effect.peer == self.name:
            self._publish(source, effects.Publish(effect.message))
        elif not self._links.send(effect.peer, effect.message):
            self._counters.add('messages.dropped')

    def _publish(
        self,
        _source: aggregate.Aggregate,
        effect: effects.Publish,
    ) -> None:
        for receiver in self._routes.get(type(effect.message), ()):
            self._published.append((receiver, effect.message, self.name))

    def _store(
        self,
        _source: aggregate.Aggregate,
        effect: effects.Store,
    ) -> None:
        if self._storage is None:
            raise errors.StorageError('no data folder', 'store')
        self._storage.execute(effect.operation)

    def _set_timer(
        self,
        source: aggregate.Aggregate,
        effect: effects.SetTimer,
    ) -> None:
        self._timers.set_timer(source.name, effect.name, effect.at)

    def _cancel_timer(
        self,
        source: aggregate.Aggregate,
        effect: effects.CancelTimer,
    ) -> None:
        self._timers.cancel_timer(source.name, effect.name)

    def _answer(
        self,
        _source: aggregate.Aggregate,
        effect: effects.Answer,
    ) -> None:
        self._requests.answer(effect.request, effect.reply)

    def _count(
        self,
        _source: aggregate.Aggregate,
        effect: effects.Count,
    ) -> None:
        self._counters.add(effect.name, effect.amount)

    def _report(
        self,
        _source: aggregate.Aggregate,
        effect: effects.Report,
    ) -> None:
        write = logs.write_call if effect.is_call else logs.write
        write(effect.event, **effect.fields)


def _log_fault(
    event: str,
    source: aggregate.Aggregate,
    subject: records.Record,
    error: Exception,
) -> None:
    logs.warn(
        event,
        aggregate=source.name,
        subject=type(subject).__name__,
        error=repr(error),
        place=_find_place(error),
    )


def _find_place(error: Exception) -> str:
    """Return file and line at which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''


# Delivered only to the aggregate concerned, not to all that accept the type.
_SINGLE_RECEIVER: typing.Final = frozenset(
    (
        messages.TimerFired,
        messages.StoreFailed,
    )
)
