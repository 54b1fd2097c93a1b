"""Intervals of roster queries."""

import typing

# Until the first answer. Short, because a node cannot serve calls before it
# knows control.
SEARCH_MS: typing.Final = 200
# After the first answer. Control processes change rarely, and a new one is
# needed only once others are gone.
RENEW_MS: typing.Final = 1000
