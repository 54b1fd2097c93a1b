"""The version in force on a node, and the last one that it refused."""

from collections import abc

from shallotwharf.components.delivery import const
from shallotwharf.components.tables import document, version
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.core import effects, schema


class Activation:
    """Puts versions in force, never below the floor nor the one in force.

    Attributes:
        active: the version in force; number 0 if there is none yet.
        reason: why the latest version was refused; empty if it was put in
            force.
    """

    __slots__ = ('active', 'reason', '_refused')

    def __init__(self) -> None:
        self.active = version.EMPTY
        self.reason = ''
        self._refused = 0

    def has_decided(self, number: int) -> bool:
        """Return whether a version is in force or was refused."""
        return number in {self.active.number, self._refused}

    def may_apply(self, number: int, floor: int | None) -> bool:
        """Return whether a version may be put in force.

        Without a floor none may.
        """
        if floor is None or number < floor:
            return False
        return number > self.active.number and number != self._refused

    def apply(
        self,
        candidate: version.Version,
        origin: abc.Mapping[str, object],
    ) -> list[effects.Effect]:
        """Put a version in force, or refuse it if its tables are not valid.

        Args:
            candidate: a version for which `may_apply` is true.
            origin: fields of the log line in addition to the number.
        """
        try:
            document.check_tables(candidate.tables, self.active.tables)
        except ExceptionGroup as group:
            self._refused = candidate.number
            return self.refuse(candidate.number, group)
        self.active = candidate
        self.reason = ''
        return [
            effects.Publish(tables_messages.VersionApplied(candidate)),
            effects.Count('delivery.versions_applied'),
            effects.Report(
                'version_applied',
                {'number': candidate.number, **origin},
            ),
        ]

    def refuse(self, number: int, error: Exception) -> list[effects.Effect]:
        """Record why a version is refused; the one in force stays."""
        self.reason = '; '.join(schema.format_errors(error))
        self.reason = self.reason[: const.MAX_REASON_LENGTH]
        return [
            effects.Count('delivery.versions_refused'),
            effects.Report(
                'version_refused',
                {'number': number, 'reason': self.reason},
            ),
        ]
