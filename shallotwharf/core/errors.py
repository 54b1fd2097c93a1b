"""Errors that name the step and the peer at which they occurred."""

from collections import abc


class ShallotwharfError(Exception):
    """Base class of the errors of this package.

    Attributes:
        detail: what went wrong, one line.
        step: the operation that failed, such as `settings.read`.
        peer: the process, address or file on the other side; empty if none.
    """

    __slots__ = ('detail', 'step', 'peer')

    def __init__(self, detail: str, step: str, peer: str = '') -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = f' peer={self.peer}' if self.peer else ''
        return f'step={self.step}{place}: {self.detail}'


class SettingsError(ShallotwharfError):
    """A settings file that cannot be used."""


class TablesError(ShallotwharfError):
    """A fault in the tables of routes and pools."""


class StorageError(ShallotwharfError):
    """A file that cannot be read, written or synced."""


class CorruptionError(StorageError):
    """Stored data that fails its checksum before the end of the file."""


class LinkError(ShallotwharfError):
    """A connection to a peer that failed."""


class ProtocolError(ShallotwharfError):
    """Bytes from a peer that are not a valid message."""


class RefusedError(ShallotwharfError):
    """A request that was refused; `detail` holds the reason's name."""


def iterate_errors(
    error: BaseException,
) -> abc.Iterator[BaseException]:
    """Yield the single errors of a possibly nested exception group."""
    if isinstance(error, BaseExceptionGroup):
        for nested in error.exceptions:
            yield from iterate_errors(nested)
    else:
        yield error
