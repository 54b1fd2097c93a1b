"""Versions that the relays of a data centre claim to hold."""

from collections import abc

from shallotwharf.components.delivery import exchange, quorum


class Claims:
    """The last claim of each relay.

    A claim never expires: a relay offers its floor to a later epoch only
    after its last claim under the earlier one.
    """

    __slots__ = ('_claims',)

    def __init__(self) -> None:
        self._claims: dict[str, exchange.RelayHolds] = {}

    def retain(self, relays: abc.Container[str]) -> None:
        """Remove the claims of all relays but the given ones."""
        for relay in list(self._claims):
            if relay not in relays:
                self._claims.pop(relay)

    def receive(self, relay: str, claim: exchange.RelayHolds) -> bool:
        """Merge a claim; return whether it is the first of its epoch."""
        known = self._claims.get(relay)
        if known is None or known.epoch != claim.epoch:
            self._claims[relay] = claim
            return True
        self._claims[relay] = _merge_claims(known, claim)
        return False

    def read_timestamp(self, relay: str) -> int:
        """Return the last timestamp received from a relay; 0 if none."""
        claim = self._claims.get(relay)
        return 0 if claim is None else claim.timestamp

    def list_ahead(
        self,
        number: int,
        relays: abc.Iterable[str],
    ) -> list[str]:
        """Return those of the relays that hold a version above `number`."""
        return [
            relay
            for relay in relays
            if relay in self._claims and self._claims[relay].number > number
        ]

    def is_held(self, number: int) -> bool:
        """Return whether a majority of an epoch's relays hold a version."""
        counting = [
            claim
            for claim in self._claims.values()
            if claim.size and claim.claimed >= number
        ]
        epochs = [claim.epoch for claim in counting]
        return any(
            epochs.count(claim.epoch) >= quorum.compute_majority(claim.size)
            for claim in counting
        )


def _merge_claims(
    known: exchange.RelayHolds,
    received: exchange.RelayHolds,
) -> exchange.RelayHolds:
    return exchange.RelayHolds(
        max(known.number, received.number),
        max(known.claimed, received.claimed),
        known.epoch,
        known.size,
        max(known.timestamp, received.timestamp),
    )
