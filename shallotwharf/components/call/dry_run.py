"""Context in which a call is planned without any effect on the node."""

import copy
import random
import typing
from collections import abc

from shallotwharf.components.call import context, index, targets
from shallotwharf.core import (
    access_interfaces,
    call_interfaces,
    upstream_notices,
)

CountSpare: typing.TypeAlias = abc.Callable[[int], int]


class FixedSource(random.Random):
    """Source that takes given choices in place of random ones.

    A choice among targets compares all of them, without scatter.
    """

    def __init__(self, pool_index: int = 0, version_point: float = 0) -> None:
        """Create a source.

        Args:
            pool_index: position of the pool that is chosen.
            version_point: first random number, which selects the version.
        """
        super().__init__(0)
        self._pool_index = pool_index
        self._points = [version_point]

    def copy(self) -> 'FixedSource':
        """Return a source that takes the same choices."""
        return FixedSource(self._pool_index, self._points[-1])

    def random(self) -> float:
        """Return the point of the version once, then 0."""
        return self._points.pop() if self._points else 0

    def sample(
        self, population: typing.Any, *_args: object, **_options: object
    ) -> list[typing.Any]:
        """Return the whole population."""
        return list(population)

    def choices(
        self, population: typing.Any, *_args: object, **_options: object
    ) -> list[typing.Any]:
        """Return the pool that was set."""
        return [population[self._pool_index]]


class ReadOnlyQuotas(access_interfaces.Quotas):
    """Answers as the quotas of a node would, without counting the call."""

    __slots__ = ('_quotas',)

    def __init__(self, quotas: access_interfaces.Quotas) -> None:
        self._quotas = quotas

    def take(self, tenant: str, now: int) -> int:
        """Return the time after which a call would be within the quota."""
        return self._quotas.read(tenant, now).wait_ms

    def give_back(self, tenant: str, now: int) -> None:
        """Do nothing, since no call was counted."""

    def read(self, tenant: str, now: int) -> access_interfaces.QuotaStanding:
        """Return the state of a tenant's quota."""
        return self._quotas.read(tenant, now)


class DryContext(context.Context):
    """Copies of what a plan changes until its first attempt is sent.

    Counters, log lines and call ids are dropped. Response sizes and shortages
    are shared, since a plan changes them only after a result.
    """

    __slots__ = (
        'local_node',
        'directory',
        'random',
        'observer',
        'sizes',
        'timings',
        'keyring',
        'quotas',
        'inner_calls',
        'shortages',
        'is_scheduled',
        'key_trust',
        '_source',
        '_entry',
        '_count_spare',
    )

    def __init__(
        self,
        source: context.Context,
        entry: index.RouteEntry | None,
        choices: FixedSource,
        count_spare: CountSpare | None,
    ) -> None:
        """Create a context.

        Args:
            source: context of the node.
            entry: route of the call; None if no route matches.
            choices: pool and version to choose.
            count_spare: returns the free slots of the local gate.
        """
        self.local_node = source.local_node
        self.directory: targets.Directory = copy.deepcopy(source.directory)
        self.random: random.Random = choices
        self.observer = call_interfaces.NullObserver()
        self.sizes = source.sizes
        self.timings = source.timings.copy_route(
            entry.row.name if entry else ''
        )
        self.keyring = source.keyring
        self.quotas = ReadOnlyQuotas(source.quotas)
        self.inner_calls = copy.copy(source.inner_calls)
        self.shortages = source.shortages
        self.is_scheduled = source.is_scheduled
        self.key_trust = source.key_trust
        self._source = source
        self._entry = copy.deepcopy(entry)
        self._count_spare = count_spare

    def find_matched(self) -> index.RouteEntry:
        """Return the copy of the route.

        Raises:
            RuntimeError: if no route matched.
        """
        if self._entry is None:
            raise RuntimeError('the call has no route')
        return self._entry

    def find_route(
        self, method: str, path: str, host: str = ''
    ) -> index.RouteEntry | None:
        """Return the copy of the route."""
        return self._entry

    def refresh_local_spare(self, now: int) -> None:
        """Update the copy of the local target from its gate."""
        local = self.directory.find_target(self.local_node)
        if local is not None and self._count_spare is not None:
            local.update_spare(self._count_spare(now), now)

    def admits(self, deadline_at: int, now: int) -> bool:
        """Return whether a call with this deadline may begin."""
        return self._source.admits(deadline_at, now)

    def note_condition(self, condition: upstream_notices.Condition) -> None:
        """Do nothing."""

    def has_version(self) -> bool:
        """Return whether a version was applied."""
        return self._source.has_version()

    def make_call_id(self) -> str:
        """Return no id."""
        return ''

    def log_refusal(
        self, reason: str, tenant: str, route: str, now: int
    ) -> None:
        """Do nothing."""

    def report(self, event: str, fields: abc.Mapping[str, object]) -> None:
        """Do nothing."""

    def count(self, name: str) -> None:
        """Do nothing."""
