"""What upstreams state about themselves, and what gates announce of them."""

import typing

from shallotwharf.core import records


class UpstreamLoad(records.Record):
    """Load that an upstream states in a response.

    Attributes:
        running: requests that run there, from all nodes.
        waiting: requests that wait there.
        slots: requests that it runs at once.
        speed: how long work takes at present in percent of the usual time; 0
            if not stated.
    """

    __slots__ = ('running', 'waiting', 'slots', 'speed')

    def __init__(
        self, running: int, waiting: int, slots: int, speed: int = 0
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.speed = speed


class UpstreamNotice(records.Record):
    """What an upstream states about itself in a response.

    Attributes:
        rate_limit: requests a second that it takes from all nodes together;
            None if it names no limit.
        is_leaving: whether it is about to end and wants no further requests.
        load: its load; None if not stated or not valid.
        is_load_invalid: whether it stated a load that is not valid.
        is_load_only: whether the response says nothing about the rate limit.
    """

    __slots__ = (
        'rate_limit',
        'is_leaving',
        'load',
        'is_load_invalid',
        'is_load_only',
    )

    def __init__(
        self,
        rate_limit: float | None = None,
        is_leaving: bool = False,
        load: UpstreamLoad | None = None,
        is_load_invalid: bool = False,
        is_load_only: bool = False,
    ) -> None:
        self.rate_limit = rate_limit
        self.is_leaving = is_leaving
        self.load = load
        self.is_load_invalid = is_load_invalid
        self.is_load_only = is_load_only


class Condition(records.Record):
    """Speed of an upstream as the gate beside it announces it.

    Attributes:
        speed: how long work takes at present in percent of the usual run time
            of a route over all upstreams; 0 if unknown.
        usual_speed: slow mean of the speed; 0 if unknown.
        is_cold: whether the upstream takes only few requests a second, since
            it started a short time ago.
    """

    __slots__ = ('speed', 'usual_speed', 'is_cold')

    def __init__(
        self,
        speed: int = 0,
        usual_speed: int = 0,
        is_cold: bool = False,
    ) -> None:
        self.speed = speed
        self.usual_speed = usual_speed
        self.is_cold = is_cold


UNKNOWN_CONDITION: typing.Final = Condition()


class Standing(records.Record):
    """What a gate tells other nodes about the upstream beside it.

    Attributes:
        leaving: incarnation of an upstream that stated that it leaves; empty
            if it did not.
        condition: speed of the upstream.
    """

    __slots__ = ('leaving', 'condition')

    def __init__(self, leaving: str, condition: Condition) -> None:
        self.leaving = leaving
        self.condition = condition
