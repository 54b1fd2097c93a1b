"""Results of calls as evidence for moves."""

import types
import typing

from shallotwharf.components.move import evidence, watcher
from shallotwharf.core import call_interfaces, calls

_OUTCOMES: typing.Final = types.MappingProxyType(
    {
        calls.OBSERVED_OK: evidence.OUTCOME_OK,
        calls.OBSERVED_ERROR: evidence.OUTCOME_ERROR,
        calls.OBSERVED_SLOW: evidence.OUTCOME_SLOW,
        calls.OBSERVED_CRASH: evidence.OUTCOME_CRASH,
    },
)


class EvidenceObserver(call_interfaces.Observer):
    """Passes each result to the watcher of moves."""

    __slots__ = ('_watcher',)

    def __init__(self, move_watcher: watcher.Watcher) -> None:
        self._watcher = move_watcher

    def observe(
        self,
        observation: call_interfaces.Observation,
        now: int,
    ) -> None:
        """Pass a result to the watcher."""
        self._watcher.observe(
            observation.route,
            observation.pool,
            observation.version,
            _OUTCOMES[observation.outcome],
            observation.duration_ms,
            now,
        )
