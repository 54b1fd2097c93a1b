"""One attempt to claim a call at its holders."""

import typing

from shallotwharf.components.once import const, wire
from shallotwharf.components.tables import version

_KNOWN_ABSENT: typing.Final = frozenset(
    (const.VERDICT_GRANTED, const.VERDICT_FULL),
)
_NO_CLAIM_STORED: typing.Final = frozenset(
    (
        const.VERDICT_CLAIMED,
        const.VERDICT_FINISHED,
        const.VERDICT_KEY_REUSED,
    ),
)


class Attempt:
    """An attempt to claim a key and the verdicts received for it.

    The token is random and identifies the attempt at the holders.
    """

    __slots__ = (
        'request',
        'key',
        'digest',
        'token',
        'group',
        'epoch',
        'members',
        'sent_at',
        'result',
        '_verdicts',
    )

    def __init__(
        self,
        request: str,
        key: str,
        digest: bytes,
        token: bytes,
        group: version.HolderGroup,
        sent_at: int,
    ) -> None:
        self.request = request
        self.key = key
        self.digest = digest
        self.token = token
        self.group = group.name
        self.epoch = group.epoch
        self.members = tuple(member.name for member in group.members)
        self.sent_at = sent_at
        self.result: wire.Result | None = None
        self._verdicts: dict[str, str] = {}

    def build_claim(self) -> wire.Claim:
        """Return the claim that is sent to each holder."""
        return wire.Claim(
            self.key,
            self.digest,
            self.token,
            self.group,
            self.epoch,
        )

    def record_verdict(self, answer: wire.ClaimAnswered, sender: str) -> None:
        """Record a holder's verdict; a later one never replaces a grant."""
        if sender not in self.members:
            return
        if self._verdicts.get(sender) != const.VERDICT_GRANTED:
            self._verdicts[sender] = answer.verdict
        if answer.result is not None and not self.has_complete_result():
            self.result = answer.result

    def has_complete_result(self) -> bool:
        """Return whether a holder sent a result with the complete body."""
        return self.result is not None and self.result.body_complete

    def is_granted(self) -> bool:
        """Return whether a majority granted and no holder has a result."""
        return (
            self.result is None
            and self._count(const.VERDICT_GRANTED) >= self._majority()
        )

    def has_final_verdicts(self) -> bool:
        """Return whether all holders have given a final verdict."""
        return len(self._verdicts) == len(self.members) and not (
            self._count(const.VERDICT_GROUP_CHANGED)
        )

    def list_resend_targets(self) -> list[str]:
        """Return the holders that the claim is sent to again."""
        return [
            member
            for member in self.members
            if self._verdicts.get(member, const.VERDICT_GROUP_CHANGED)
            == const.VERDICT_GROUP_CHANGED
        ]

    def list_claim_holders(self) -> list[str]:
        """Return the holders that may have stored the claim of this attempt."""
        return [
            member
            for member in self.members
            if self._verdicts.get(member) not in _NO_CLAIM_STORED
        ]

    def has_verdict(self, verdict: str) -> bool:
        """Return whether any holder gave the verdict."""
        return verdict in self._verdicts.values()

    def is_known_absent(self) -> bool:
        """Return whether a majority had no record of the key."""
        absent = [
            verdict
            for verdict in self._verdicts.values()
            if verdict in _KNOWN_ABSENT
        ]
        return len(absent) >= self._majority()

    def _count(self, verdict: str) -> int:
        return list(self._verdicts.values()).count(verdict)

    def _majority(self) -> int:
        return len(self.members) // 2 + 1
