"""Log lines of key=value pairs, one line per event, on standard output.

Writing never blocks and its volume is bounded: lines that do not fit into the
buffer of a slow reader, and lines about single calls above a rate limit, are
dropped and counted.
"""

import collections
import os
import select
import sys
import typing

import logbook

from shallotwharf.core import bucket, clock

_FORMAT = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} '
    'level={record.level_name} {record.message}'
)
# A pipe that is ready accepts this much without blocking (POSIX, PIPE_BUF).
_CHUNK_BYTES: typing.Final = 4096
# Buffer for a slow reader; holds some seconds of output of a busy process.
BUFFER_BYTES: typing.Final = 262_144
# Rate limit of lines about single calls, of about 200 bytes each.
CALL_LINES_PER_SECOND: typing.Final = 50
CALL_LINES_BURST: typing.Final = 200
# Values are truncated to this number of characters.
MAX_VALUE_LENGTH: typing.Final = 300

_logger = logbook.Logger('shallotwharf')


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
        dropped: number of lines dropped since the last `log_dropped` event.
    """

    __slots__ = ('dropped', '_descriptor', '_poll', '_buffered', '_size')

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._buffered: collections.deque[bytes] = collections.deque()
        self._size = 0

    def write(self, line: str) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        encoded = f'{line}\n'.encode('utf-8', 'replace')
        if self.dropped and self._size < BUFFER_BYTES // 2:
            self._buffer(f'event=log_dropped lines={self.dropped}\n'.encode())
            self.dropped = 0
        if self._size + len(encoded) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer(encoded)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffered and self._is_ready():
            chunk = self._buffered[0][:_CHUNK_BYTES]
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The disk is full or the reader closed the pipe: drop all.
                self.dropped += len(self._buffered)
                self._buffered.clear()
                self._size = 0
                return
            self._size -= written
            rest = self._buffered.popleft()[written:]
            if rest:
                self._buffered.appendleft(rest)

    def _buffer(self, encoded: bytes) -> None:
        self._buffered.append(encoded)
        self._size += len(encoded)

    def _is_ready(self) -> bool:
        return bool(self._poll.poll(0))


class CallLimiter:
    """Limits the rate of lines about single calls; counts the others."""

    __slots__ = ('left_out', '_clock', '_bucket', '_reported_at')

    def __init__(self, process_clock: clock.Clock) -> None:
        self.left_out = 0
        self._clock = process_clock
        self._bucket = bucket.TokenBucket(
            CALL_LINES_BURST,
            process_clock.read(),
        )
        self._reported_at = process_clock.read()

    def admits(self) -> bool:
        """Return whether a line may be written now; count it if not."""
        admitted = self._bucket.take(
            self._clock.read(),
            CALL_LINES_PER_SECOND,
            CALL_LINES_BURST,
        )
        self.left_out += int(not admitted)
        return admitted

    def pop_left_out(self) -> int:
        """Return how many lines were left out since the last report.

        The count is reset. Within a second of the last report, return 0.
        """
        now = self._clock.read()
        if now - self._reported_at < clock.SECOND_MS:
            return 0
        self._reported_at = now
        count = self.left_out
        self.left_out = 0
        return count


class _Handler(logbook.Handler):  # type: ignore[misc]
    """Passes formatted records to a writer."""

    __slots__ = ('_writer', 'formatter')

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(logbook.lookup_level(level))
        self.formatter = logbook.StringFormatter(_FORMAT)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record."""
        self._writer.write(self.format(record))


_limiter = CallLimiter(clock.SystemClock())


def configure(level: str = 'INFO') -> None:
    """Send log lines of `level` and above to standard output.

    Raises:
        LookupError: if the level is not one of logbook's.
    """
    logbook.set_datetime_format('utc')
    _Handler(LineWriter(sys.stdout.fileno()), level).push_application()


def write(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    _logger.info(format_pairs(event, fields))


def warn(event: str, **fields: object) -> None:
    """Log an event at level WARNING."""
    _logger.warning(format_pairs(event, fields))


def write_call(event: str, **fields: object) -> None:
    """Log an event of a single call, subject to the rate limit."""
    if not _limiter.admits():
        return
    left_out = _limiter.pop_left_out()
    if left_out:
        write('call_lines_left_out', lines=left_out)
    write(event, **fields)


def format_pairs(event: str, fields: dict[str, object]) -> str:
    """Return `event=... key=value ...`, with quotes where needed."""
    pairs = [f'event={event}']
    for name, field in fields.items():
        pairs.append(f'{name}={_format_value(field)}')
    return ' '.join(pairs)


def _format_value(field: object) -> str:
    text = str(field)[:MAX_VALUE_LENGTH]
    if not text.isprintable():
        # Otherwise a line break in a value could forge a log line.
        text = ''.join(
            char if char.isprintable() else rf'\x{ord(char):02x}'
            for char in text
        )
    text = text.replace('"', "'")
    if ' ' in text or '=' in text or not text:
        return f'"{text}"'
    return text
