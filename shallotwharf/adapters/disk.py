"""The data folder of a replicated log.

Files: `identity` (written once), `state` and `snapshot` (replaced as a whole
by a rename) and `log` (one frame per append). An append whose first index is
within the log supersedes the records from that index on. The file is
append-only until a snapshot rewrites it.
"""

import struct
import typing
from collections import abc

from shallotwharf.adapters import codec, folder, frames
from shallotwharf.core import errors, logs, messages, ports, records, storage

IDENTITY_FILE: typing.Final = 'identity'
STATE_FILE: typing.Final = 'state'
SNAPSHOT_FILE: typing.Final = 'snapshot'
LOG_FILE: typing.Final = 'log'
_NEW_SUFFIX: typing.Final = '.new'
# Last frame of a snapshot; if it is absent, parts are missing.
_END: typing.Final = b'end'
_FIRST: typing.Final = struct.Struct('>Q')
_LENGTH: typing.Final = struct.Struct('>I')
_STEP: typing.Final = 'disk.open'


class DiskStorage(ports.Storage):
    """Storage of state, log and snapshot of one process on disk."""

    __slots__ = (
        '_folder',
        '_size',
        '_records',
        '_damaged',
        '_replacing',
        '_executors',
    )

    def __init__(self, data_folder: folder.Folder, identity: str) -> None:
        """Open a folder; write the identity if the folder is new.

        Raises:
            StorageError: if the folder cannot be read or written.
            CorruptionError: if a file is damaged; it names file and offset.
        """
        self._folder = data_folder
        self._size = 0
        self._records = _Range()
        # The log may have bytes of a failed append after `_size`.
        self._damaged = False
        # Whether a rewrite of the log was interrupted, so that either the old
        # or the new file may be in place.
        self._replacing = False
        self._executors: dict[type[records.Record], typing.Any] = {
            storage.SaveState: self._save_state,
            storage.AppendRecords: self._append,
            storage.SaveSnapshot: self._save_snapshot,
        }
        if data_folder.read(IDENTITY_FILE) is None:
            self._initialise(identity)
        else:
            self._truncate_tail()

    def execute(self, operation: records.Record) -> None:
        """Execute a write operation and sync it to disk.

        Raises:
            StorageError: if the operation could not be written and synced.
        """
        self._executors[type(operation)](operation)

    def recover(self) -> storage.Recovered:
        """Return the stored state, snapshot and log.

        Raises:
            CorruptionError: if a file is damaged; it names file and offset.
        """
        identity = self._read_whole(IDENTITY_FILE)[0].decode()
        state = self._decode(STATE_FILE, self._read_whole(STATE_FILE))
        saved = self._read_whole(SNAPSHOT_FILE)
        if saved and saved[-1] != _END:
            raise errors.CorruptionError(
                'the snapshot has no end frame',
                _STEP,
                self._folder.describe(SNAPSHOT_FILE),
            )
        snapshot = self._decode(SNAPSHOT_FILE, saved[:-1])
        kept = self._read_log().contents
        return storage.Recovered(
            identity,
            state[0] if state else None,
            snapshot[0] if snapshot else None,
            snapshot[1:],
            self._decode(LOG_FILE, kept),
        )

    def _initialise(self, identity: str) -> None:
        """Create the files of a new folder, the identity last."""
        for file in (STATE_FILE, SNAPSHOT_FILE, LOG_FILE):
            if self._folder.read(file):
                raise errors.CorruptionError(
                    f'{file} exists but {IDENTITY_FILE} is missing',
                    _STEP,
                    self._folder.describe(IDENTITY_FILE),
                )
        self._replace(LOG_FILE, b'')
        self._replace(IDENTITY_FILE, frames.build_frame(identity.encode()))

    def _truncate_tail(self) -> None:
        log = self._read_log()
        whole = self._folder.read(LOG_FILE) or b''
        self._size = log.size
        self._records = log.range
        if log.size < len(whole):
            logs.warn(
                'log_tail_truncated',
                file=self._folder.describe(LOG_FILE),
                offset=log.size,
                bytes=len(whole) - log.size,
            )
            self._damaged = True
            self._repair()

    def _save_state(self, operation: storage.SaveState) -> None:
        self._replace(
            STATE_FILE,
            frames.build_frame(_encode(operation.state)),
        )

    def _append(self, operation: storage.AppendRecords) -> None:
        self._repair()
        after = self._records.append(operation.first, len(operation.entries))
        frame = _build_log_frame(
            operation.first,
            [_encode(entry) for entry in operation.entries],
        )
        self._damaged = True
        try:
            self._write_frame(frame)
        except errors.StorageError:
            self._try_repair()
            raise
        self._damaged = False
        self._size += len(frame)
        self._records = after

    def _write_frame(self, frame: bytes) -> None:
        self._folder.append(LOG_FILE, frame)
        self._folder.sync(LOG_FILE)

    def _save_snapshot(self, operation: storage.SaveSnapshot) -> None:
        payloads = [_encode(operation.header)]
        payloads.extend(_encode(part) for part in operation.parts)
        payloads.append(_END)
        self._replace(
            SNAPSHOT_FILE, b''.join(map(frames.build_frame, payloads))
        )
        if self._replacing:
            self._repair()
        log = self._read_log()
        kept = log.select(operation.first, operation.last)
        content = _build_log_frame(operation.first, kept) if kept else b''
        self._replacing = True
        self._replace(LOG_FILE, content)
        self._replacing = False
        self._damaged = False
        self._size = len(content)
        self._records = _Range(operation.first, len(kept))

    def _replace(self, file: str, content: bytes) -> None:
        new = file + _NEW_SUFFIX
        try:
            self._write_new(new, content)
        except errors.StorageError:
            self._try_remove(new)
            raise
        self._folder.rename(new, file)
        self._folder.sync_names()

    def _write_new(self, file: str, content: bytes) -> None:
        self._folder.write(file, content)
        self._folder.sync(file)

    def _try_remove(self, file: str) -> None:
        try:
            self._folder.remove(file)
        except errors.StorageError as error:
            logs.warn('remove_failed', error=error)

    def _try_repair(self) -> None:
        try:
            self._repair()
        except errors.StorageError as error:
            logs.warn('repair_failed', error=error)

    def _repair(self) -> None:
        """Restore a consistent log after a failed operation."""
        if self._replacing:
            self._folder.sync_names()
            # The size may be that of the other file, so it is not used.
            self._damaged = False
            log = self._read_log()
            self._size = log.size
            self._records = log.range
            self._damaged = True
            self._replacing = False
        if self._damaged:
            self._folder.truncate(LOG_FILE, self._size)
            self._folder.sync(LOG_FILE)
            self._damaged = False

    def _read_log(self) -> '_Log':
        content = self._folder.read(LOG_FILE)
        path = self._folder.describe(LOG_FILE)
        if content is None:
            raise errors.CorruptionError('the log file is missing', _STEP, path)
        if self._damaged:
            content = content[: self._size]
        return _Log(frames.parse_log(content, path), path)

    def _read_whole(self, file: str) -> tuple[bytes, ...]:
        return frames.parse_whole(
            self._folder.read(file) or b'',
            self._folder.describe(file),
        )

    def _decode(
        self,
        file: str,
        payloads: abc.Iterable[bytes],
    ) -> tuple[messages.Message, ...]:
        path = self._folder.describe(file)
        try:
            return tuple(codec.decode(payload, path) for payload in payloads)
        except errors.ProtocolError as error:
            raise errors.CorruptionError(str(error), _STEP, path) from error


class _Range(records.Record):
    """Range of indices of consecutive records."""

    __slots__ = ('first', 'count')

    def __init__(self, first: int = 1, count: int = 0) -> None:
        self.first = first
        self.count = count

    def append(self, first: int, count: int) -> '_Range':
        """Return the range after an append.

        Raises:
            StorageError: if the append would leave a gap.
        """
        if not self.count or first <= self.first:
            return _Range(first, count)
        kept = first - self.first
        if kept > self.count:
            raise errors.StorageError(
                f'record {first} does not follow {self.first + self.count - 1}',
                'disk.append',
            )
        return _Range(self.first, kept + count)


class _Log:
    """Records of the log; later frames supersede earlier ones."""

    __slots__ = ('size', 'range', 'contents')

    def __init__(self, parsed: frames.Parsed, path: str) -> None:
        self.size = parsed.size
        self.range = _Range()
        self.contents: list[bytes] = []
        for payload in parsed.payloads:
            self._add(payload, path)

    def select(self, first: int, last: int) -> list[bytes]:
        """Return the records from index `first` to `last`, inclusive."""
        start = max(first - self.range.first, 0)
        return self.contents[start : max(last - self.range.first + 1, 0)]

    def _add(self, payload: bytes, path: str) -> None:
        first = int(_FIRST.unpack_from(payload)[0])
        added = _split_records(payload[_FIRST.size :])
        try:
            after = self.range.append(first, len(added))
        except errors.StorageError as error:
            raise errors.CorruptionError(str(error), _STEP, path) from error
        kept = after.count - len(added)
        if kept < len(self.contents):
            self.contents = self.contents[:kept]
        self.contents.extend(added)
        self.range = after


def _split_records(payload: bytes) -> list[bytes]:
    split: list[bytes] = []
    offset = 0
    while offset < len(payload):
        length = int(_LENGTH.unpack_from(payload, offset)[0])
        offset += _LENGTH.size
        split.append(payload[offset : offset + length])
        offset += length
    return split


def _build_log_frame(first: int, encoded: list[bytes]) -> bytes:
    parts = [_FIRST.pack(first)]
    for record in encoded:
        parts.append(_LENGTH.pack(len(record)))
        parts.append(record)
    return frames.build_frame(b''.join(parts))


def _encode(message: messages.Message) -> bytes:
    try:
        return codec.encode(message)
    except errors.ProtocolError as error:
        raise errors.StorageError(str(error), 'disk.encode') from error
