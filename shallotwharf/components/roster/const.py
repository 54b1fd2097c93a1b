"""Periods of the search for control processes."""

import typing

# Until the first answer; a start is served as soon as control is known.
SEARCH_MS: typing.Final = 200
# Afterwards: control processes change rarely, and a new one is needed only
# once others are gone.
RENEW_MS: typing.Final = 1000
