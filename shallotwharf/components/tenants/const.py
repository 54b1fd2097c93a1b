"""Events, counters and intervals of tenants."""

import typing

EVENT_REFUSED: typing.Final = 'tenant_refused'
EVENT_LOST: typing.Final = 'control_lost'
EVENT_HEARD: typing.Final = 'control_heard'
COUNTER_LOST: typing.Final = 'tenants.control_lost'
# One line a second tells that callers are refused; a line for each would let
# callers fill the log.
LOG_MS: typing.Final = 1000
