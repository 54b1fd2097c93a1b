"""Evacuated data centres: who evacuated them, and since when."""

import types
import typing

from shallotwharf.components.ledger import answers, const, messages
from shallotwharf.components.tables import version
from shallotwharf.core import effects, records

Order: typing.TypeAlias = (
    messages.EvacuateDatacentre | messages.RestoreDatacentre
)


class Evacuation(records.Record):
    """An evacuated data centre.

    Attributes:
        datacentre: its name.
        operator: who evacuated it.
        at: wall time of the command, in milliseconds since the epoch.
    """

    __slots__ = ('datacentre', 'operator', 'at')

    def __init__(self, datacentre: str, operator: str, at: int) -> None:
        self.datacentre = datacentre
        self.operator = operator
        self.at = at


class Evacuations:
    """Evacuations in force by data centre.

    The version holds the names only, since nodes need no more.
    """

    __slots__ = ('_rows',)

    def __init__(self, rows: tuple[Evacuation, ...] = ()) -> None:
        self._rows = {row.datacentre: row for row in rows}

    def list_rows(self) -> tuple[Evacuation, ...]:
        """Return the evacuations in force, sorted by data centre."""
        return tuple(row for _, row in sorted(self._rows.items()))

    def list_names(self) -> tuple[str, ...]:
        """Return the evacuated data centres, sorted."""
        return tuple(sorted(self._rows))

    def find_refusal(self, command: Order) -> messages.EditRefused | None:
        """Return why an order is refused; None if it is not.

        Without a list of known data centres none is unknown or the last.
        """
        if not isinstance(command, messages.EvacuateDatacentre):
            return None
        datacentre = command.datacentre
        known = set(command.known)
        if not datacentre or (known and datacentre not in known):
            return answers.refuse(const.REASON_UNKNOWN_DATACENTRE, datacentre)
        if known and known <= self._rows.keys() | {datacentre}:
            return answers.refuse(
                const.REASON_LAST_DATACENTRE,
                f'no other data centre than {datacentre} would be left',
            )
        return None

    def apply(self, command: Order) -> effects.Effect:
        """Evacuate or restore a data centre; return the line to log.

        Raises:
            KeyError: if a data centre to restore is not evacuated.
        """
        if isinstance(command, messages.EvacuateDatacentre):
            row = Evacuation(command.datacentre, command.operator, command.at)
            self._rows[row.datacentre] = row
        else:
            row = self._rows.pop(command.datacentre)
        return effects.Report(
            _EVENTS[type(command)],
            {
                'datacentre': row.datacentre,
                'since_ms': row.at,
                'operator': command.operator,
            },
        )


def is_repetition(current: version.Version, command: Order) -> bool:
    """Return whether a version already has what an order asks for."""
    is_evacuated = command.datacentre in current.evacuated
    return is_evacuated == isinstance(command, messages.EvacuateDatacentre)


def find_kind(command: Order) -> str:
    """Return the kind of the version that an order leads to."""
    return _KINDS[type(command)]


_KINDS: typing.Final = types.MappingProxyType(
    {
        messages.EvacuateDatacentre: const.KIND_EVACUATE,
        messages.RestoreDatacentre: const.KIND_RESTORE,
    }
)
_EVENTS: typing.Final = types.MappingProxyType(
    {
        messages.EvacuateDatacentre: const.EVENT_EVACUATED,
        messages.RestoreDatacentre: const.EVENT_RESTORED,
    }
)
