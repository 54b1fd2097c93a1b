"""Times and limits of the list of requests that crash upstreams."""

import typing

from shallotwharf.core import clock

# A digest is refused for this long after the second crash.
REFUSAL_MS: typing.Final = 10 * clock.MINUTE_MS
# Crashes count together within this time.
CRASH_MEMORY_MS: typing.Final = 10 * clock.MINUTE_MS
# Different nodes whose upstreams crashed while they ran a digest.
CRASHED_NODES: typing.Final = 2
# Digests that are remembered; beyond that the oldest ones are dropped.
MAX_DIGESTS: typing.Final = 4096
# Digests of one crash that are taken: more requests than an upstream has
# slots cannot have run.
MAX_DIGESTS_PER_CRASH: typing.Final = 64
