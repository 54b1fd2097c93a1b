"""Row of the table of routes."""

import types
import typing
from collections import abc

from shallotwharf.components.tables import const
from shallotwharf.core import digest

_RANKS: typing.Final = types.MappingProxyType(
    {priority: rank for rank, priority in enumerate(const.PRIORITIES)},
)
# Few different sets of methods are in use, so decoded routes with equal methods
# share one tuple.
_interned_methods: dict[tuple[str, ...], tuple[str, ...]] = {}


class Route(digest.SharedRecord):
    """Which pool serves a request, and how.

    Attributes:
        name: unique name.
        path_prefix: requests match if their path starts with it.
        methods: HTTP methods that match.
        pool: name of the pool that serves the request; empty if `shares` is
            set.
        priority: one of `const.PRIORITIES`.
        timeout_ms: longest time until the whole response has arrived.
        idempotent: whether a request may run twice without harm.
        once_only: whether a request must run at most once.
        retries: attempts allowed for one request after the first.
        host: requests match if they are for this host; empty for any.
        shares: weights of several pools by name, in place of `pool`; empty
            if `pool` is set.
        aim_ms: target latency, within which a response has its full value; 0
            if the operators set none.
        regions: regions in which the request may be served, sorted; empty
            for all.
        is_public: whether the request needs no key of a tenant.
    """

    __slots__ = (
        'name',
        'path_prefix',
        'methods',
        'pool',
        'priority',
        'timeout_ms',
        'idempotent',
        'once_only',
        'retries',
        'host',
        'shares',
        'aim_ms',
        'regions',
        'is_public',
    )

    added_defaults = ((), False)

    # Each field of a record is an argument.
    def __init__(  # noqa: WPS211
        self,
        name: str,
        path_prefix: str,
        methods: tuple[str, ...],
        pool: str,
        priority: str = const.DEFAULT_PRIORITY,
        timeout_ms: int = const.DEFAULT_TIMEOUT_MS,
        idempotent: bool = True,
        once_only: bool = False,
        retries: int = const.DEFAULT_RETRIES,
        host: str = '',
        shares: abc.Mapping[str, int] = const.NO_SHARES,
        aim_ms: int = 0,
        regions: tuple[str, ...] = (),
        is_public: bool = False,
    ) -> None:
        self.name = name
        self.path_prefix = path_prefix
        self.methods = _interned_methods.setdefault(methods, methods)
        self.pool = pool
        self.priority = priority
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.once_only = once_only
        self.retries = retries
        self.host = host
        self.shares = shares
        self.aim_ms = aim_ms
        self.regions = regions
        self.is_public = is_public

    @property
    def rank(self) -> int:
        """Return the rank of the priority; 0 is served first."""
        return _RANKS[self.priority]

    def list_pools(self) -> tuple[str, ...]:
        """Return the names of all pools that may serve the request."""
        return tuple(self.shares) or (self.pool,)

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request matches the method and path prefix."""
        return method in self.methods and path.startswith(self.path_prefix)
