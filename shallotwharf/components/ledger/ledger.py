"""State machine that applies the committed commands."""

import types
import typing

from shallotwharf.components.ledger import (
    answers,
    const,
    evacuations,
    history,
    holders,
    messages,
    moves,
    orders,
    requests,
    revisions,
    snapshot,
)
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, errors
from shallotwharf.core import messages as core_messages


class Ledger(aggregate.Aggregate):
    """Versions and request ids; equal on all processes at equal indices.

    The state depends on the commands alone; times are those that the
    commands carry.

    Attributes:
        orders: accepted revisions, and the document of the latest one.
        evacuations: the evacuated data centres.
    """

    __slots__ = (
        'orders',
        'evacuations',
        '_history',
        '_reports',
        '_requests',
        '_applied',
        '_snapshot_part_bytes',
    )

    name = 'ledger'
    handlers: typing.ClassVar[aggregate.Handlers] = types.MappingProxyType(
        {
            replica_messages.Committed: 'apply',
            replica_messages.SnapshotWanted: 'take_snapshot',
            replica_messages.SnapshotRestored: 'restore_snapshot',
        },
    )

    def __init__(
        self,
        snapshot_part_bytes: int = const.SNAPSHOT_PART_BYTES,
    ) -> None:
        """Start empty; each snapshot part has about `snapshot_part_bytes`."""
        self._snapshot_part_bytes = snapshot_part_bytes
        self._history = history.History()
        self.evacuations = evacuations.Evacuations()
        # Lines to log about the command that is being applied.
        self._reports: list[effects.Effect] = []
        self._requests = requests.AnsweredRequests()
        self.orders = orders.AcceptedOrders()
        self._applied = 0

    @property
    def current(self) -> version.Version:
        """Return the latest version; number 0 before the first edit."""
        return self._history.current

    @property
    def applied(self) -> int:
        """Return the index of the last command that was applied."""
        return self._applied

    def start(self, now: int) -> list[effects.Effect]:
        """Do nothing; commands of the log drive the ledger."""
        return []

    def list_history(self) -> tuple[history.HistoryRow, ...]:
        """Return the rows of the history, the latest one last."""
        return self._history.list_rows()

    def find_version(self, number: int) -> version.Version | None:
        """Return a version by its number; None if it is not in the history."""
        return self._history.find_version(number)

    def find_outcome(self, request_id: str) -> core_messages.Message | None:
        """Return the first answer to a request id; None if unknown."""
        record = self._requests.find(request_id)
        return None if record is None else record.reply

    def compact(self, command: messages.Command) -> messages.Command:
        """Return a command in the form in which it is best proposed."""
        if isinstance(command, messages.ApplyRevision):
            return revisions.compact(command, self._read_base())
        return command

    def apply(
        self,
        committed: replica_messages.Committed,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Apply a command, publish the version it led to and answer it."""
        method = _COMMANDS.get(type(committed.command))
        if method is None or committed.index <= self._applied:
            return []
        self._applied = committed.index
        before = self.current.number
        reply = getattr(self, method)(committed.command)
        step = [answers.count_reply(reply), *self._reports]
        self._reports.clear()
        if self.current.number > before:
            step.append(_publish(self.current))
        if committed.request:
            step.append(effects.Answer(committed.request, reply))
        return step

    def take_snapshot(
        self,
        _wanted: replica_messages.SnapshotWanted,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Publish a snapshot of the whole state."""
        parts = snapshot.build_parts(
            self._history,
            self._requests,
            self.orders,
            self.evacuations,
            self._snapshot_part_bytes,
        )
        return [
            effects.Publish(
                replica_messages.SnapshotTaken(self._applied, parts),
            ),
        ]

    def restore_snapshot(
        self,
        restored: replica_messages.SnapshotRestored,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Replace the whole state by that of a snapshot.

        Raises:
            ProtocolError: if the parts are not those of a ledger snapshot.
        """
        state = snapshot.RestoredState(restored.parts)
        self._history = state.history
        self._requests = state.requests
        self.orders = state.orders
        self.evacuations = state.evacuations
        self._applied = restored.index
        return [_publish(self.current)] if self.current.number else []

    def _apply_edit(
        self,
        command: messages.ApplyEdit,
    ) -> core_messages.Message:
        return self._run_once(command, command.tables, const.KIND_EDIT)

    def _revert(self, command: messages.Revert) -> core_messages.Message:
        old = self._history.find_version(command.number)
        tables = None if old is None else old.tables
        return self._run_once(command, tables, const.KIND_REVERT)

    def _run_once(
        self,
        command: answers.Edit,
        tables: version.Tables | None,
        kind: str,
    ) -> core_messages.Message:
        """Run an edit unless its request id is known or unusable."""
        self._requests.expire(command.at)
        reply = self._requests.check(command)
        if reply is not None:
            return reply
        reply = answers.find_refusal(self._history, command, tables)
        if reply is None:
            accepted = typing.cast(version.Tables, tables)
            target = moves.derive_version(self.current, accepted)
            reply = self._accept(command, kind, target, f'base={command.base}')
        self._requests.add(
            requests.RequestRecord(
                command.request_id,
                requests.compute_digest(command),
                reply,
            ),
        )
        return reply

    def _apply_revision(
        self,
        command: messages.ApplyRevision,
    ) -> core_messages.Message:
        known = self.orders.find(command.digest)
        if known is not None:
            return known
        reply = answers.check_revision(self.current, command)
        if reply is not None:
            return reply
        target = moves.derive_version(self.current, command.tables)
        detail = f'revision={command.tables.revision} base={command.base}'
        accepted = self._accept(command, const.KIND_EDIT, target, detail)
        self.orders.add(revisions.expand_document(command), accepted)
        return accepted

    def _change_revision(
        self,
        command: messages.ChangeRevision,
    ) -> core_messages.Message:
        known = self.orders.find(command.digest)
        if known is not None:
            return known
        base = self._read_base()
        if command.base_number != base.number:
            return messages.EditConflict(base.tables.revision, '', '')
        try:
            expanded = revisions.expand(command, base)
        except errors.ProtocolError as error:
            return answers.refuse(const.REASON_UNKNOWN_BASE, error.detail)
        return self._apply_revision(expanded)

    def _read_base(self) -> revisions.Base:
        return revisions.Base(
            self.current.tables,
            self._history.tables_number,
            self.orders.document,
        )

    def _order_move(self, command: messages.OrderMove) -> core_messages.Message:
        current = self.current
        if all(row.service != command.service for row in current.tables.pools):
            return answers.refuse(const.REASON_UNKNOWN_SERVICE, command.service)
        split = moves.find_split_pool(current.tables, command.service)
        if split:
            return answers.refuse(const.REASON_SEVERAL_VERSIONS, split)
        ordered = moves.build_ordered_moves(current, command)
        if not ordered:
            return answers.accept_unchanged(self.current)
        replaced = {move.pool for move in ordered}
        others = [move for move in current.moves if move.pool not in replaced]
        target = current.replace(
            number=current.number + 1,
            moves=(*others, *ordered),
        )
        detail = f'service={command.service} to={command.to_version}'
        return self._accept(command, const.KIND_ORDER, target, detail)

    def _step_move(self, command: messages.StepMove) -> core_messages.Message:
        move = moves.find_move(self.current, command.move_id)
        if move is None or not moves.is_open(move):
            return answers.refuse(const.REASON_MOVE_NOT_ACTIVE, command.move_id)
        if not moves.is_valid_step(move, command):
            return answers.refuse(
                const.REASON_INVALID_STEP,
                f'share={command.share} state={command.state}',
            )
        stepped = move.replace(
            share=command.share,
            state=command.state,
            reason=command.reason,
        )
        return self._change_move(command, const.KIND_STEP, move, stepped)

    def _take_back(self, command: messages.TakeBack) -> core_messages.Message:
        move = moves.find_move(self.current, command.move_id)
        if move is None or move.state == version.STATE_TAKEN_BACK:
            return answers.refuse(const.REASON_MOVE_NOT_ACTIVE, command.move_id)
        taken = move.replace(
            share=0,
            state=version.STATE_TAKEN_BACK,
            reason=command.reason,
        )
        return self._change_move(command, const.KIND_TAKE_BACK, move, taken)

    def _change_move(
        self,
        command: messages.StepMove | messages.TakeBack,
        kind: str,
        move: version.Move,
        changed: version.Move,
    ) -> core_messages.Message:
        if move == changed:
            return answers.accept_unchanged(self.current)
        target = moves.replace_move(self.current, changed)
        detail = (
            f'move={changed.move_id} share={changed.share} '
            f'state={changed.state}'
        )
        return self._accept(command, kind, target, detail)

    def _assign_holders(
        self,
        command: messages.AssignHolders,
    ) -> core_messages.Message:
        violation = holders.find_violation(self.current.holders, command.groups)
        if violation:
            return answers.refuse(const.REASON_INVALID_HOLDERS, violation)
        target = self.current.replace(
            number=self.current.number + 1,
            holders=command.groups,
        )
        detail = f'groups={len(command.groups)}'
        return self._accept(command, const.KIND_HOLDERS, target, detail)

    def _change_evacuations(
        self,
        command: evacuations.Order,
    ) -> core_messages.Message:
        if evacuations.is_repetition(self.current, command):
            return answers.accept_unchanged(self.current)
        refused = self.evacuations.find_refusal(command)
        if refused is not None:
            return refused
        self._reports.append(self.evacuations.apply(command))
        target = self.current.replace(
            number=self.current.number + 1,
            evacuated=self.evacuations.list_names(),
        )
        kind = evacuations.find_kind(command)
        return self._accept(
            command, kind, target, f'datacentre={command.datacentre}'
        )

    def _accept(
        self,
        command: messages.Command,
        kind: str,
        target: version.Version,
        detail: str,
    ) -> core_messages.Message:
        row = self._history.append_version(command, kind, target, detail)
        return messages.EditAccepted(row.number, row.digest)


def _publish(current: version.Version) -> effects.Effect:
    return effects.Publish(tables_messages.VersionAccepted(current))


_COMMANDS: typing.Final = types.MappingProxyType(
    {
        messages.ApplyEdit: '_apply_edit',
        messages.Revert: '_revert',
        messages.StepMove: '_step_move',
        messages.TakeBack: '_take_back',
        messages.AssignHolders: '_assign_holders',
        messages.ApplyRevision: '_apply_revision',
        messages.ChangeRevision: '_change_revision',
        messages.OrderMove: '_order_move',
        messages.EvacuateDatacentre: '_change_evacuations',
        messages.RestoreDatacentre: '_change_evacuations',
    },
)
