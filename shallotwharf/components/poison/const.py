"""Limits of the list of requests that crash upstreams."""

import typing

from shallotwharf.core import clock

# Time for which a digest is refused after the second crash.
REFUSAL_MS: typing.Final = 10 * clock.MINUTE_MS
# Crashes with the same digest count together within this time.
CRASH_WINDOW_MS: typing.Final = 10 * clock.MINUTE_MS
# Number of different nodes whose upstreams must crash while they run a request
# with the same digest before it is refused.
MIN_CRASHED_NODES: typing.Final = 2
# Maximum number of stored digests; the oldest are dropped first.
MAX_DIGESTS: typing.Final = 4096
# Maximum number of digests accepted per crash: no more requests can have been
# running than the upstream has slots.
MAX_DIGESTS_PER_CRASH: typing.Final = 64
