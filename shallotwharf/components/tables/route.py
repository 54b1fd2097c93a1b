"""Row of the table of routes."""

from collections import abc

from shallotwharf.components.tables import const
from shallotwharf.core import digest

# Few different sets are in use; each is kept once however often it is decoded.
_sets: dict[tuple[str, ...], tuple[str, ...]] = {}


class Route(digest.SharedRecord):
    """Which pool serves a request, and how.

    Attributes:
        name: unique name.
        path_prefix: requests match if their path starts with it.
        methods: HTTP methods that match.
        pool: name of the pool that serves it.
        priority: one of `const.PRIORITIES`.
        timeout_ms: longest time to the whole answer.
        idempotent: whether a second run of a request does no harm.
        once_only: whether a request must run at most once.
        retries: further attempts allowed for one request.
        host: requests match if they are for this host; empty for any.
        shares: weights of several pools by name, in place of `pool`, which
            is then empty.
        aim_ms: time within which an answer has its full worth; 0 if the
            operators set none.
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
    )

    def __init__(
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
    ) -> None:
        self.name = name
        self.path_prefix = path_prefix
        self.methods = _sets.setdefault(methods, methods)
        self.pool = pool
        self.priority = priority
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.once_only = once_only
        self.retries = retries
        self.host = host
        self.shares = shares
        self.aim_ms = aim_ms

    @property
    def rank(self) -> int:
        """Return the place of the priority; 0 is served first."""
        return const.PRIORITIES.index(self.priority)

    def list_pools(self) -> tuple[str, ...]:
        """Return the names of all pools that may serve it."""
        return tuple(self.shares) or (self.pool,)

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request belongs to this route."""
        return method in self.methods and path.startswith(self.path_prefix)
