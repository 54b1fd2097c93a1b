"""File operations in a data folder."""

import abc
import fcntl
import os
import pathlib
import typing
from collections import abc as collections_abc

from shallotwharf.core import errors

_LOCK_FILE: typing.Final = 'lock'
_FILE_MODE: typing.Final = 0o600

_ResultT = typing.TypeVar('_ResultT')


class Folder(abc.ABC):
    """Primitive file operations; changes are durable only after a sync.

    Each operation raises `StorageError` if it fails.
    """

    __slots__ = ()

    @abc.abstractmethod
    def describe(self, file: str) -> str:
        """Return the path of a file for error messages."""

    @abc.abstractmethod
    def read(self, file: str) -> bytes | None:
        """Return the content of a file; None if it does not exist."""

    @abc.abstractmethod
    def write(self, file: str, content: bytes) -> None:
        """Create a file or replace its content."""

    @abc.abstractmethod
    def append(self, file: str, content: bytes) -> None:
        """Append to a file."""

    @abc.abstractmethod
    def truncate(self, file: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    @abc.abstractmethod
    def sync(self, file: str) -> None:
        """Make the content of a file durable."""

    @abc.abstractmethod
    def rename(self, file: str, target: str) -> None:
        """Rename a file, replacing an existing target."""

    @abc.abstractmethod
    def remove(self, file: str) -> None:
        """Delete a file; no effect if it does not exist."""

    @abc.abstractmethod
    def sync_names(self) -> None:
        """Make created, renamed and removed directory entries durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the lock of the folder."""


class OsFolder(Folder):
    """A directory in the file system, locked by this process."""

    __slots__ = ('_path', '_lock')

    def __init__(self, path: str) -> None:
        """Create the folder if needed and lock it.

        Raises:
            StorageError: if the folder cannot be written or is in use.
        """
        self._path = pathlib.Path(path)
        self._lock = -1
        self._attempt('open', '', self._create)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise errors.StorageError(
                'the data folder is in use by another process',
                'disk.lock',
                path,
            ) from error

    def describe(self, file: str) -> str:
        """Return the path of a file."""
        return str(self._path / file)

    def read(self, file: str) -> bytes | None:
        """Return the content of a file; None if it does not exist."""
        path = self._path / file
        if not path.exists():
            return None
        return self._attempt('read', file, path.read_bytes)

    def write(self, file: str, content: bytes) -> None:
        """Create a file or replace its content."""
        self._write(file, content, os.O_TRUNC)

    def append(self, file: str, content: bytes) -> None:
        """Append to a file."""
        self._write(file, content, os.O_APPEND)

    def truncate(self, file: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._attempt(
            'truncate',
            file,
            lambda: os.truncate(self._path / file, size),
        )

    def sync(self, file: str) -> None:
        """Make the content of a file durable."""
        self._attempt(
            'sync',
            file,
            lambda: _sync_path(self._path / file, os.O_RDWR),
        )

    def rename(self, file: str, target: str) -> None:
        """Rename a file, replacing an existing target."""
        self._attempt(
            'rename',
            file,
            lambda: os.replace(self._path / file, self._path / target),
        )

    def remove(self, file: str) -> None:
        """Delete a file; no effect if it does not exist."""
        path = self._path / file
        self._attempt('remove', file, lambda: path.unlink(missing_ok=True))

    def sync_names(self) -> None:
        """Make created, renamed and removed directory entries durable."""
        self._attempt(
            'sync',
            '',
            lambda: _sync_path(self._path, os.O_RDONLY),
        )

    def close(self) -> None:
        """Release the lock of the folder."""
        os.close(self._lock)

    def _create(self) -> None:
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(
            self._path / _LOCK_FILE,
            os.O_RDWR | os.O_CREAT | os.O_CLOEXEC,
            _FILE_MODE,
        )

    def _write(self, file: str, content: bytes, mode: int) -> None:
        self._attempt(
            'write',
            file,
            lambda: _write_all(self._path / file, content, mode),
        )

    def _attempt(
        self,
        operation: str,
        file: str,
        attempt: collections_abc.Callable[[], _ResultT],
    ) -> _ResultT:
        try:
            return attempt()
        except OSError as error:
            raise errors.StorageError(
                f'cannot {operation}: {error.strerror}',
                f'disk.{operation}',
                self.describe(file),
            ) from error


def _write_all(path: pathlib.Path, content: bytes, mode: int) -> None:
    descriptor = os.open(
        path,
        os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | mode,
        _FILE_MODE,
    )
    try:
        _write_descriptor(descriptor, content)
    finally:
        os.close(descriptor)


def _write_descriptor(descriptor: int, content: bytes) -> None:
    left = memoryview(content)
    while left:
        left = left[os.write(descriptor, left) :]


def _sync_path(path: pathlib.Path, mode: int) -> None:
    descriptor = os.open(path, mode | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
