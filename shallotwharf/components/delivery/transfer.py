"""Transfer of versions as differences, in parts that fit into a message."""

import types
import typing
from collections import abc

from shallotwharf.components.delivery import const, messages
from shallotwharf.components.tables import difference, version
from shallotwharf.core import errors

STEP: typing.Final = 'delivery.assemble'
_KINDS: typing.Final = (
    'routes',
    'pools',
    'moves',
    'holders',
    'removals',
    'tenants',
)

_Entries: typing.TypeAlias = dict[str, list[typing.Any]]


class History:
    """The newest versions with their digests, and differences of them.

    Attributes:
        newest: version with the highest number.
    """

    __slots__ = ('newest', '_limit', '_versions', '_digests', '_parts')

    def __init__(self, limit: int) -> None:
        self.newest = version.EMPTY
        self._limit = limit
        self._versions: dict[int, version.Version] = {}
        self._digests: dict[int, bytes] = {}
        self._parts: dict[
            tuple[int, int],
            tuple[messages.VersionPart, ...],
        ] = {}
        self.add(version.EMPTY, version.EMPTY.compute_digest())

    def add(self, added: version.Version, digest: bytes) -> None:
        """Add a version; beyond the limit the oldest one is removed."""
        self._versions[added.number] = added
        self._digests[added.number] = digest
        if added.number > self.newest.number:
            self.newest = added
        if len(self._versions) > self._limit + 1:
            oldest = min(number for number in self._versions if number)
            self._versions.pop(oldest)
            self._digests.pop(oldest)

    def find(self, number: int, digest: bytes) -> version.Version | None:
        """Return a version if it is kept with the same digest, else None."""
        if self._digests.get(number) != digest:
            return None
        return self._versions[number]

    def find_digest(self, number: int) -> bytes | None:
        """Return the digest of a version; None if it is not kept."""
        return self._digests.get(number)

    def find_last(self, limit: int) -> int:
        """Return the highest version number kept up to `limit`."""
        if self.newest.number <= limit:
            return self.newest.number
        return max(number for number in self._versions if number <= limit)

    def make_parts(
        self,
        number: int,
        digest: bytes,
        target: int,
    ) -> tuple[messages.VersionPart, ...]:
        """Return the parts that turn a version held by a peer into `target`.

        They hold the difference or the whole version, whichever is smaller,
        and always the whole version if the peer's version is not kept here.
        """
        base = self.find(number, digest) or version.EMPTY
        cached = self._parts.get((base.number, target))
        if cached is None:
            if len(self._parts) >= self._limit:
                self._parts.clear()
            cached = self._compute_parts(base, self._versions[target])
            self._parts[base.number, target] = cached
        return cached

    def _compute_parts(
        self,
        base: version.Version,
        target: version.Version,
    ) -> tuple[messages.VersionPart, ...]:
        change = difference.compute_difference(base, target)
        if not base.number:
            return split_difference(change)
        # Without removals its rows are some of those of the whole version.
        is_part = not change.removals
        if is_part and count_entries(change) < difference.count_rows(target):
            return split_difference(change)
        whole = difference.compute_difference(version.EMPTY, target)
        if estimate_size(change) < estimate_size(whole):
            return split_difference(change)
        return split_difference(whole)


class Assembly:
    """Collects the parts of one difference at a time."""

    __slots__ = ('_key', '_parts')

    def __init__(self) -> None:
        self._key: messages.VersionPart | None = None
        self._parts: dict[int, messages.VersionPart] = {}

    def add(
        self,
        part: messages.VersionPart,
    ) -> difference.Difference | None:
        """Add a part; return the difference once all parts have arrived.

        A part of another difference discards the parts collected so far,
        unless those are of a newer version; then the part is ignored.

        Raises:
            ProtocolError: if it has too many parts.
        """
        if part.total > const.MAX_PARTS:
            raise errors.ProtocolError(
                f'version {part.change.number} has {part.total} parts, '
                f'more than {const.MAX_PARTS}',
                STEP,
            )
        key = part.replace(index=0, change=_clear(part.change))
        if key != self._key:
            if self._is_newer_than(part):
                return None
            self._key = key
            self._parts = {}
        self._parts[part.index] = part
        if len(self._parts) < part.total:
            return None
        return self._join(key)

    def build(
        self,
        part: messages.VersionPart,
        history: History,
    ) -> version.Version | None:
        """Add a part; store and return the version that it completes.

        Raises:
            ProtocolError: if the base is not kept, if the digest of the
                result does not match, or if there are too many parts.
        """
        change = self.add(part)
        if change is None:
            return None
        base = history.find(change.base, change.base_digest)
        if base is None:
            raise errors.ProtocolError(
                f'version {change.number} is a difference to version '
                f'{change.base}, which is not held with the same digest',
                STEP,
            )
        built = difference.apply_difference(base, change)
        history.add(built, change.digest)
        return built

    def _is_newer_than(self, part: messages.VersionPart) -> bool:
        if self._key is None:
            return False
        return self._key.change.number > part.change.number

    def _join(self, key: messages.VersionPart) -> difference.Difference:
        joined: _Entries = {kind: [] for kind in _KINDS}
        for index in sorted(self._parts):
            change = self._parts[index].change
            for kind in _KINDS:
                joined[kind].extend(getattr(change, kind))
        self._key = None
        self._parts = {}
        return _replace_entries(key.change, joined)


def count_entries(change: difference.Difference) -> int:
    """Return the number of all entries."""
    return sum(1 for _ in _iterate_entries(change))


def estimate_size(change: difference.Difference) -> int:
    """Return the number of characters of all entries."""
    return sum(len(repr(entry)) for _, entry in _iterate_entries(change))


def split_difference(
    change: difference.Difference,
    limit: int = const.PART_CHARACTERS,
) -> tuple[messages.VersionPart, ...]:
    """Return parts of at most `limit` characters, or of one entry each."""
    batches: list[_Entries] = [{}]
    room = limit
    for kind, entry in _iterate_entries(change):
        size = len(repr(entry))
        if size > room and batches[-1]:
            batches.append({})
            room = limit
        batches[-1].setdefault(kind, []).append(entry)
        room -= size
    return tuple(
        messages.VersionPart(
            index,
            len(batches),
            _replace_entries(change, batch),
        )
        for index, batch in enumerate(batches)
    )


def _iterate_entries(
    change: difference.Difference,
) -> abc.Iterator[tuple[str, typing.Any]]:
    for kind in _KINDS:
        for entry in getattr(change, kind):
            yield kind, entry


def _clear(change: difference.Difference) -> difference.Difference:
    return _replace_entries(change, {})


def _replace_entries(
    change: difference.Difference,
    entries: _Entries,
) -> difference.Difference:
    kept: abc.Mapping[str, tuple[typing.Any, ...]] = types.MappingProxyType(
        {kind: tuple(entries.get(kind, ())) for kind in _KINDS},
    )
    return change.replace(**kept)
