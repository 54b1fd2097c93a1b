"""Limits of the list of requests that crash upstreams."""

import typing

from shallotwharf.core import clock

# Crashes with the same digest count together within this time, and a digest is
# refused for this long after the last of them.
CRASH_WINDOW_MS: typing.Final = 10 * clock.MINUTE_MS
# Crashes after which a digest is refused if no other request was running in
# all of them.
MIN_CRASHES: typing.Final = 2
# Crashes after which it is refused even if another one was, provided that it
# began last in most of them, as a request that crashes its upstream at once.
MAX_CRASHES: typing.Final = 4
# Crashes after which it is refused in any case.
LAST_CRASHES: typing.Final = 8
# Maximum number of stored digests; the oldest are dropped first.
MAX_DIGESTS: typing.Final = 4096
# Maximum number of digests accepted per crash: no more requests can have been
# running than the upstream has slots.
MAX_DIGESTS_PER_CRASH: typing.Final = 64
