"""Counts of call results by route and version, mergeable by addition."""

import typing
from collections import abc

from shallotwharf.components.move import const
from shallotwharf.core import records

# How an attempt ended: with a complete response; with a late response or none
# in time; with an error; with a connection lost before the response was
# complete.
OUTCOME_OK: typing.Final = 'ok'
OUTCOME_SLOW: typing.Final = 'slow'
OUTCOME_ERROR: typing.Final = 'error'
OUTCOME_CRASH: typing.Final = 'crash'

# Route name of the overall row, which counts the calls of all routes.
OVERALL: typing.Final = ''


class Counts(records.Record):
    """Calls of one version; a call counts in at most one kind of failure."""

    __slots__ = ('calls', 'errors', 'slow', 'crashes')

    def __init__(
        self,
        calls: int = 0,
        errors: int = 0,
        slow: int = 0,
        crashes: int = 0,
    ) -> None:
        self.calls = calls
        self.errors = errors
        self.slow = slow
        self.crashes = crashes

    def add(self, other: 'Counts') -> 'Counts':
        """Return the sum of two counts."""
        return Counts(
            self.calls + other.calls,
            self.errors + other.errors,
            self.slow + other.slow,
            self.crashes + other.crashes,
        )

    def read_failures(self) -> tuple[int, int, int]:
        """Return errors, slow responses and crashes."""
        return (self.errors, self.slow, self.crashes)


class Row(records.Record):
    """Calls of a route to the old and the new version in one period."""

    __slots__ = ('route', 'old', 'new')

    def __init__(self, route: str, old: Counts, new: Counts) -> None:
        self.route = route
        self.old = old
        self.new = new

    def add(self, other: 'Row') -> 'Row':
        """Return the sum of two rows of the same route."""
        return Row(
            self.route,
            self.old.add(other.old),
            self.new.add(other.new),
        )


class Slice:
    """Sums by route; at most `const.MAX_ROUTES` and the overall row.

    Rows of further routes are dropped. Their calls still count, since each
    sender includes them in its overall row.
    """

    __slots__ = ('_rows',)

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    def merge(self, rows: abc.Iterable[Row]) -> None:
        """Add rows, the overall row included."""
        for row in rows:
            total = self._rows.get(row.route)
            if total is not None:
                self._rows[row.route] = total.add(row)
            elif len(self._rows) <= const.MAX_ROUTES:
                self._rows[row.route] = row

    def drain(self) -> tuple[Row, ...]:
        """Return and remove all rows."""
        rows = tuple(self._rows.values())
        self._rows = {}
        return rows


EMPTY_COUNTS: typing.Final = Counts()
EMPTY_ROW: typing.Final = Row(OVERALL, EMPTY_COUNTS, EMPTY_COUNTS)


def find_overall(rows: abc.Iterable[Row]) -> Row:
    """Return the overall row, or an empty row if there is none."""
    for row in rows:
        if row.route == OVERALL:
            return row
    return EMPTY_ROW
