"""Interfaces that decide whether a caller may use a route."""

import abc
import typing

from shallotwharf.core import records


class QuotaStanding(records.Record):
    """State of a tenant's quota as one node knows it.

    Attributes:
        state: `free`, `hot` (near its limit) or `limited`.
        basis: what decides at present: `limit` of the tenant or the share that
            control granted, `usual` calls, or `fixed` share without control.
        rate: calls a second that this node may admit; 0 for no limit.
        fraction: part of the calls that is admitted where the rate of a
            limited tenant is too low to state; 0 if unused.
        wait_ms: time after which a call would be admitted; 0 for at once.
    """

    __slots__ = ('state', 'basis', 'rate', 'fraction', 'wait_ms')

    def __init__(
        self,
        state: str = 'free',
        basis: str = 'limit',
        rate: float = 0,
        fraction: float = 0,
        wait_ms: int = 0,
    ) -> None:
        self.state = state
        self.basis = basis
        self.rate = rate
        self.fraction = fraction
        self.wait_ms = wait_ms


UNLIMITED_STANDING: typing.Final = QuotaStanding()


class Quotas(abc.ABC):
    """Limits on the calls of tenants."""

    __slots__ = ()

    def read(self, tenant: str, now: int) -> QuotaStanding:
        """Return the state of a tenant's quota without counting a call."""
        return UNLIMITED_STANDING

    @abc.abstractmethod
    def take(self, tenant: str, now: int) -> int:
        """Count a call of a tenant; return 0 if it is within its quota.

        Otherwise returns the time in milliseconds after which there will be
        room for one.
        """

    @abc.abstractmethod
    def give_back(self, tenant: str, now: int) -> None:
        """Uncount an admitted call that ended without reaching an upstream."""


class UnlimitedQuotas(Quotas):
    """Admits all calls."""

    __slots__ = ()

    def take(self, tenant: str, now: int) -> int:
        """Admit a call."""
        return 0

    def give_back(self, tenant: str, now: int) -> None:
        """Do nothing, since calls are not counted."""


class KeyTrust(abc.ABC):
    """Whether the keys in the version in force may be relied on."""

    __slots__ = ()

    @abc.abstractmethod
    def trusts_keys(self, now: int) -> bool:
        """Return whether calls that need a key may be served."""


class UnlimitedKeyTrust(KeyTrust):
    """Relies on the keys of the version in force at any time."""

    __slots__ = ()

    def trusts_keys(self, now: int) -> bool:
        """Return True."""
        return True
