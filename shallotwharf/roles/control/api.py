"""HTTP API of control for operators."""

import typing

from shallotwharf.adapters import admin
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import version
from shallotwharf.core import messages
from shallotwharf.roles import process
from shallotwharf.roles.control import aggregates as control_aggregates
from shallotwharf.roles.control import edits, evacuations, proposals, views
from shallotwharf.roles.settings import model

_GET: typing.Final = 'GET'
_HTTP_REDIRECT: typing.Final = 307
_HTTP_UNAVAILABLE: typing.Final = 503


class ControlApi:
    """Request handlers of the admin server by method and path."""

    __slots__ = ('table', '_settings', '_runtime', '_aggregates', '_replies')

    def __init__(
        self,
        settings: model.ControlSettings,
        runtime: process.Runtime,
        aggregates: control_aggregates.ControlAggregates,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._aggregates = aggregates
        self._replies: dict[type[messages.Message], typing.Any] = {
            ledger_messages.EditAccepted: views.reply_accepted,
            ledger_messages.EditConflict: views.reply_conflict,
            ledger_messages.EditRefused: views.reply_refused,
            replica_messages.ChangeAccepted: views.reply_change,
            replica_messages.NotLeader: self._reply_not_leader,
            replica_messages.OutcomeUnknown: views.reply_unknown,
            replica_messages.ProposalRefused: views.reply_not_proposed,
        }
        self.table: admin.AdminTable = {
            (_GET, '/health'): self.async_read_health,
            (_GET, '/metrics'): self.async_read_metrics,
            (_GET, '/v1/tables'): self.async_read_tables,
            (_GET, '/v1/status'): self.async_read_status,
            (_GET, '/v1/moves'): self.async_read_moves,
            (_GET, '/v1/history'): self.async_read_history,
            ('POST', '/v1/edits'): self.async_edit,
            ('POST', '/v1/reverts'): self.async_revert,
            ('POST', '/v1/members'): self.async_change_members,
            (_GET, '/v1/evacuations'): self.async_read_evacuations,
            ('POST', '/v1/evacuations'): self.async_evacuate,
            ('DELETE', '/v1/evacuations'): self.async_restore,
        }

    async def async_read_health(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the state of this replica and the members of its group."""
        return views.reply_health(
            self._settings.local_peer.name,
            self._aggregates.replica.read_status(),
            self._aggregates.ledger.current.number,
        )

    async def async_read_metrics(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return all counters as text."""
        return admin.AdminReply(views.HTTP_OK, self._runtime.counters.render())

    async def async_read_tables(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the tables of a version, the current one by default."""
        if 'number' not in request.query:
            reply = self._check_leading()
            if reply is not None:
                return reply
        found = self._find_version(request)
        if found is None:
            return views.reply_unknown_version()
        return views.reply_tables(found)

    async def async_read_status(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return on which nodes a version is in force."""
        reply = self._check_leading()
        if reply is not None:
            return reply
        found = self._find_version(request)
        if found is None:
            return views.reply_unknown_version()
        status = self._aggregates.replica.read_status()
        summarized = self._aggregates.feed.summarize(
            found.number,
            self._runtime.clock.read(),
        )
        return admin.AdminReply(
            views.HTTP_OK,
            {'leader': status.leader} | views.describe_summary(summarized),
        )

    async def async_read_moves(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the progress of each move."""
        reply = self._check_leading()
        if reply is not None:
            return reply
        current = self._aggregates.ledger.current
        rows = [
            views.describe_move(status, current)
            for status in self._aggregates.director.list_statuses()
        ]
        return admin.AdminReply(views.HTTP_OK, {'moves': rows})

    async def async_read_history(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the accepted versions, newest first."""
        reply = self._check_leading()
        if reply is not None:
            return reply
        rows = reversed(self._aggregates.ledger.list_history())
        return admin.AdminReply(
            views.HTTP_OK,
            {'versions': [views.describe_row(row) for row in rows]},
        )

    async def async_edit(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Propose two tables as the next version."""
        return await self._async_propose(
            edits.read_edit(
                request.document,
                self._runtime.clock.read_wall(),
                self._find_tables,
            ),
        )

    async def async_revert(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Propose a new version with the tables of an old one."""
        return await self._async_propose(
            edits.read_revert(
                request.document, self._runtime.clock.read_wall()
            ),
        )

    async def async_change_members(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Add or remove a control process."""
        change, name = edits.read_member_change(request.document)
        return self._reply(
            await proposals.async_change_members(self._runtime, change, name),
        )

    async def async_read_evacuations(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the evacuated data centres."""
        reply = self._check_leading()
        if reply is not None:
            return reply
        ledger = self._aggregates.ledger
        return evacuations.reply_evacuations(
            ledger.evacuations.list_rows(),
            self._aggregates.feed.summarize(
                ledger.current.number, self._runtime.clock.read()
            ),
        )

    async def async_evacuate(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Propose to evacuate a data centre."""
        return await self._async_propose(
            evacuations.read_evacuation(
                request.document,
                self._settings.datacentres,
                self._runtime.clock.read_wall(),
            ),
        )

    async def async_restore(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Propose to restore a data centre."""
        return await self._async_propose(
            evacuations.read_restoration(
                request.query, self._runtime.clock.read_wall()
            ),
        )

    def _find_tables(self, base: int) -> version.Tables:
        """Return the tables of a version, or the current ones.

        Those of a version that the history does not contain any more are the
        current ones, or the edit conflicts.
        """
        ledger = self._aggregates.ledger
        return (ledger.find_version(base) or ledger.current).tables

    async def _async_propose(
        self,
        command: messages.Message,
    ) -> admin.AdminReply:
        return self._reply(
            await proposals.async_propose(self._runtime, command),
        )

    def _reply(self, outcome: messages.Message) -> admin.AdminReply:
        reply: admin.AdminReply = self._replies[type(outcome)](outcome)
        return reply

    def _check_leading(self) -> admin.AdminReply | None:
        """Return None on the leader, otherwise a response that names it."""
        if self._aggregates.replica.is_leading(self._runtime.clock.read()):
            return None
        status = self._aggregates.replica.read_status()
        return self._reply_not_leader(
            replica_messages.NotLeader(status.leader),
        )

    def _reply_not_leader(
        self,
        outcome: replica_messages.NotLeader,
    ) -> admin.AdminReply:
        others = (
            peer
            for peer in self._settings.control
            if peer.name != self._settings.local_peer.name
        )
        for peer in others:
            if peer.name == outcome.leader:
                return admin.AdminReply(
                    _HTTP_REDIRECT,
                    {'reason': 'not_leader', 'leader': peer.name},
                    f'http://{peer.host}:{peer.admin_port}',
                )
        return admin.AdminReply(_HTTP_UNAVAILABLE, {'reason': 'no_leader'})

    def _find_version(
        self,
        request: admin.AdminRequest,
    ) -> version.Version | None:
        current = self._aggregates.ledger.current
        number = request.query.get('number', str(current.number))
        if not number.isdecimal():
            return None
        return self._aggregates.ledger.find_version(int(number))
