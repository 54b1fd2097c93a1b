"""Proposes commands and changes of the members to the replicated log."""

import typing
from collections import abc

from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import clock, errors, messages
from shallotwharf.roles import process

# An edit across regions takes about 50 ms, an election up to 2 s.
_TIMEOUT_MS: typing.Final = 5 * clock.SECOND_MS

MemberChange: typing.TypeAlias = (
    type[replica_messages.AddMember] | type[replica_messages.RemoveMember]
)


async def async_propose(
    runtime: process.Runtime,
    command: messages.Message,
) -> messages.Message:
    """Propose a command and return its outcome.

    The outcome is that of the ledger, `NotLeader`, `ProposalRefused` or
    `OutcomeUnknown`; the last also if no outcome arrives within 5 s.
    """
    return await _async_request(
        runtime,
        lambda request: replica_messages.Propose(request, command),
    )


async def async_change_members(
    runtime: process.Runtime,
    change: MemberChange,
    name: str,
) -> messages.Message:
    """Add or remove a control process and return the outcome.

    The outcome is `ChangeAccepted`, `NotLeader`, `ProposalRefused` or
    `OutcomeUnknown`.
    """
    return await _async_request(runtime, lambda request: change(request, name))


async def _async_request(
    runtime: process.Runtime,
    build: abc.Callable[[str], messages.Message],
) -> messages.Message:
    def deliver(request: str) -> None:  # noqa: WPS430
        runtime.dispatcher.deliver(build(request), runtime.name)

    try:
        return await runtime.requests.async_request(deliver, _TIMEOUT_MS)
    except errors.RefusedError:
        return replica_messages.OutcomeUnknown()
