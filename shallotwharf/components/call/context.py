"""Interface between a call plan and the aggregate that made it."""

import abc
import random
from collections import abc as abc_collections

from shallotwharf.components.call import (
    index,
    inner_calls,
    shortages,
    sizes,
    targets,
    timing,
)
from shallotwharf.components.tenants import keyring
from shallotwharf.core import (
    access_interfaces,
    call_interfaces,
    upstream_notices,
)


class Context(abc.ABC):
    """State and operations that a call plan uses.

    Attributes:
        local_node: name of the local node.
        directory: targets by service and version.
        random: random number generator of all choices.
        observer: receives the result of each attempt.
        sizes: mean response sizes by route.
        timings: deadlines and run times by route.
        keyring: tenants of the current version by their keys.
        quotas: limits on the calls of tenants.
        inner_calls: calls of the upstream beside this node.
        shortages: lack of room that calls have just met.
        is_scheduled: whether gates schedule attempts, see `upstream.schedule`.
        key_trust: whether the keys of the current version may be relied on.
    """

    __slots__ = ()

    local_node: str
    directory: targets.Directory
    random: random.Random
    observer: call_interfaces.Observer
    sizes: sizes.ResponseSizes
    timings: timing.Timings
    keyring: keyring.Keyring
    quotas: access_interfaces.Quotas
    inner_calls: inner_calls.InnerCalls
    shortages: shortages.Shortages
    is_scheduled: bool
    key_trust: access_interfaces.KeyTrust

    @abc.abstractmethod
    def find_route(
        self,
        method: str,
        path: str,
        host: str = '',
    ) -> index.RouteEntry | None:
        """Return the route of a request in the current version."""

    @abc.abstractmethod
    def refresh_local_spare(self, now: int) -> None:
        """Update the spare slots of the local upstream from its gate."""

    @abc.abstractmethod
    def admits(self, deadline_at: int, now: int) -> bool:
        """Return whether a call with this deadline may begin."""

    @abc.abstractmethod
    def note_condition(self, condition: upstream_notices.Condition) -> None:
        """Apply the rules of scheduling if a gate states a speed."""

    @abc.abstractmethod
    def has_version(self) -> bool:
        """Return whether a version was applied."""

    @abc.abstractmethod
    def make_call_id(self) -> str:
        """Return a new call id."""

    @abc.abstractmethod
    def log_refusal(
        self, reason: str, tenant: str, route: str, now: int
    ) -> None:
        """Log that calls are refused for their tenant, not each of them."""

    @abc.abstractmethod
    def report(
        self, event: str, fields: abc_collections.Mapping[str, object]
    ) -> None:
        """Log a decision on a call."""

    @abc.abstractmethod
    def count(self, name: str) -> None:
        """Increment a counter."""
