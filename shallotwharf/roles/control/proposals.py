"""Commands that this process hands to the replicated log."""

import typing

from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import clock, errors, messages
from shallotwharf.roles import process

# An edit across regions takes some 50 ms; an election takes up to 2 s.
_TIMEOUT_MS: typing.Final = 5 * clock.SECOND_MS


async def async_propose(
    frame: process.Frame,
    command: messages.Message,
) -> messages.Message:
    """Propose a command and return its outcome.

    The outcome is that of the ledger, or `NotLeader`, `ProposalRefused` or
    `OutcomeUnknown`, the last also if there was no answer in time.
    """

    def propose(request: str) -> None:  # noqa: WPS430
        frame.dispatcher.deliver(
            replica_messages.Propose(request, command),
            frame.name,
        )

    try:
        return await frame.requests.async_ask(propose, _TIMEOUT_MS)
    except errors.RefusedError:
        return replica_messages.OutcomeUnknown()
