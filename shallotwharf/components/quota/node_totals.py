"""Totals of calls that a node has reported to a control process."""

from shallotwharf.components.quota import messages


class NodeTotals:
    """Totals by tenant, as last reported.

    Attributes:
        run: number of the membership; 0 if its start is unknown.
        heard_at: time of the last report.
    """

    __slots__ = ('run', 'heard_at', '_rows')

    def __init__(self, run: int) -> None:
        self.run = run
        self.heard_at = 0
        self._rows: dict[str, messages.Usage] = {}

    def update(self, row: messages.Usage) -> tuple[int, int, bool]:
        """Return the admitted and requested calls since the last report.

        The third result is whether it is the first report of the tenant.
        """
        known = self._rows.get(row.tenant)
        if known is None:
            self._rows[row.tenant] = row
            return row.admitted, row.requested, True
        if row.requested <= known.requested:
            # A report that was overtaken by a later one.
            return 0, 0, False
        self._rows[row.tenant] = row
        return (
            row.admitted - known.admitted,
            row.requested - known.requested,
            False,
        )
