"""Guards against stored records that are lost, altered or spurious.

Covers torn tails, corruption, a full disk, two processes in one folder and a
crash at each file system operation.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.adapters import disk, folder
from shallotwharf.components.replica import configuration, stored
from shallotwharf.core import errors, storage
from tests import folders

MEMBERS = configuration.Configuration((configuration.Member('a', 'x'),))


def build_entries(first, count, term=1):
    return tuple(
        stored.Entry(index, term, stored.Noop())
        for index in range(first, first + count)
    )


def append(first, count, term=1):
    return storage.AppendRecords(first, build_entries(first, count, term))


def open_disk(data):
    return disk.DiskStorage(data, 'identity-1')


def write_log(appends):
    data = folders.FakeFolder()
    opened = open_disk(data)
    sizes = [0]
    for operation in appends:
        opened.execute(operation)
        sizes.append(len(data.read('log')))
    return data, sizes


def test_reopened_folder_has_what_was_stored():
    data, _ = write_log([append(1, 3), append(4, 2), append(3, 1, term=2)])
    opened = open_disk(data)
    opened.execute(storage.SaveState(stored.State(4, 'x')))
    found = disk.DiskStorage(data, 'identity-2').recover()
    assert found.identity == 'identity-1'
    assert found.state == stored.State(4, 'x')
    assert found.entries == build_entries(1, 2) + build_entries(3, 1, 2)


def test_snapshot_keeps_a_range_of_the_log():
    data, _ = write_log([append(1, 9)])
    opened = open_disk(data)
    header = stored.Snapshot(6, 1, MEMBERS)
    parts = (stored.Noop(), stored.State(1, ''))
    opened.execute(storage.SaveSnapshot(header, parts, 4, 9))
    opened.execute(append(10, 1))
    found = open_disk(data).recover()
    assert (found.header, found.parts) == (header, parts)
    assert found.entries == build_entries(4, 7)


def test_torn_tail_is_truncated_at_each_byte():
    data, sizes = write_log([append(1, 2), append(3, 1)])
    whole = data.read('log')
    for size in range(sizes[1], sizes[2]):
        for tail in (b'', bytes(sizes[2] - size)):
            data.set_content('log', whole[:size] + tail)
            opened = open_disk(data)
            assert opened.recover().entries == build_entries(1, 2)
            opened.execute(append(3, 2))
            assert open_disk(data).recover().entries == build_entries(1, 4)


def test_each_damaged_byte_before_the_tail_is_reported_with_its_offset():
    data, sizes = write_log([append(1, 2), append(3, 1), append(4, 1)])
    whole = data.read('log')
    for offset in range(sizes[2]):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x40
        data.set_content('log', bytes(damaged))
        with pytest.raises(errors.CorruptionError) as caught:
            open_disk(data)
        frame = sizes[0] if offset < sizes[1] else sizes[1]
        assert caught.value.peer == '/data/log'
        assert f'offset {frame};' in caught.value.detail


@pytest.mark.parametrize('file', ['state', 'snapshot', 'identity'])
def test_damage_in_a_file_that_is_replaced_as_a_whole_is_reported(file):
    data, _ = write_log([append(1, 1)])
    opened = open_disk(data)
    opened.execute(storage.SaveState(stored.State(1, '')))
    header = stored.Snapshot(1, 1, MEMBERS)
    opened.execute(storage.SaveSnapshot(header, (stored.Noop(),), 2, 1))
    whole = data.read(file)
    for offset in range(len(whole)):
        damaged = bytearray(whole)
        damaged[offset] ^= 1
        data.set_content(file, bytes(damaged))
        with pytest.raises(errors.CorruptionError) as caught:
            open_disk(data).recover()
        assert caught.value.peer == f'/data/{file}'


def test_missing_identity_or_log_of_a_used_folder_is_reported():
    for file in ('log', 'identity'):
        data, _ = write_log([append(1, 1)])
        data.remove(file)
        with pytest.raises(errors.CorruptionError):
            open_disk(data)


def test_full_disk_leaves_the_log_unchanged_and_recovers():
    data, sizes = write_log([append(1, 2)])
    opened = open_disk(data)
    data.full = True
    for operation in (
        append(3, 1),
        storage.SaveState(stored.State(7, 'y')),
        storage.SaveSnapshot(stored.Snapshot(2, 1, MEMBERS), (), 3, 2),
    ):
        with pytest.raises(errors.StorageError):
            opened.execute(operation)
        assert len(data.read('log')) == sizes[1]
    data.full = False
    opened.execute(append(3, 1, term=2))
    found = open_disk(data).recover()
    assert found.entries == build_entries(1, 2) + build_entries(3, 1, 2)
    assert found.state is None


@pytest.mark.parametrize('failed_sync', [1, 2])
@pytest.mark.parametrize('fails_append', [False, True])
def test_log_is_intact_after_a_snapshot_whose_names_were_not_synced(
    failed_sync, fails_append
):
    """Guards against a size of the old log file that is used for the new."""
    data, _ = write_log([append(1, 9)])
    opened = open_disk(data)
    data.names_fail_in = failed_sync
    header = stored.Snapshot(6, 1, MEMBERS)
    with pytest.raises(errors.StorageError):
        opened.execute(storage.SaveSnapshot(header, (stored.Noop(),), 4, 9))
    if fails_append:
        data.full = True
        with pytest.raises(errors.StorageError):
            opened.execute(append(10, 2))
        data.full = False
    opened.execute(append(10, 1))
    opened.execute(append(11, 1))
    found = open_disk(data).recover()
    assert found.entries[-8:] == build_entries(4, 8)


def test_append_that_leaves_a_gap_is_refused():
    data, _ = write_log([append(1, 2)])
    with pytest.raises(errors.StorageError):
        open_disk(data).execute(append(4, 1))


class Model:
    """Expected content of the disk after the successful operations."""

    def __init__(self):
        self.state = None
        self.header = None
        self.entries = {}

    def apply(self, operation):
        if isinstance(operation, storage.SaveState):
            self.state = operation.state
        elif isinstance(operation, storage.AppendRecords):
            kept = [n for n in self.entries if n < operation.first]
            self.entries = {n: self.entries[n] for n in kept}
            self.entries.update({e.index: e for e in operation.entries})
        else:
            self.header = operation.header
            span = range(operation.first, operation.last + 1)
            self.entries = {n: self.entries[n] for n in span}

    def read(self):
        return (self.state, self.header, tuple(self.entries.values()))


def choose_operation(model, source):
    last = max(model.entries, default=0)
    if model.header is not None:
        last = max(last, model.header.index)
    kind = source.choice('sal' if last else 'sa')
    term = source.randint(1, 9)
    if kind == 's':
        return storage.SaveState(stored.State(term, 'v'))
    if kind == 'a':
        least = min(model.entries, default=last + 1)
        first = source.randint(max(least, last - 2), last + 1)
        return append(first, source.randint(1, 3), term)
    index = source.randint(min(model.entries, default=last + 1), last + 1)
    index = min(index, last)
    if not model.entries:
        return storage.SaveState(stored.State(term, 'w'))
    header = stored.Snapshot(index, term, MEMBERS)
    return storage.SaveSnapshot(header, (stored.Noop(),), index, last)


def read_disk(data):
    found = open_disk(data).recover()
    return (found.state, found.header, found.entries)


def copy_model(model):
    copied = Model()
    copied.__dict__.update(model.__dict__)
    return copied


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    strategies.integers(0, 10**9),
    strategies.integers(3, 25),
    strategies.integers(0, 60),
    strategies.booleans(),
)
def test_crash_at_any_operation_keeps_what_was_synced(
    seed,
    count,
    crash_in,
    fill,
):
    source = random.Random(seed)
    data = folders.FakeFolder(seed)
    opened, model = open_disk(data), Model()
    data.crash_in = crash_in
    allowed = []
    try:
        for number in range(count):
            data.full = fill and number % 3 == 2
            operation = choose_operation(model, source)
            after = copy_model(model)
            after.apply(operation)
            allowed = list_states(model, after, operation)
            try:
                opened.execute(operation)
            except errors.StorageError:
                continue
            model, allowed = after, []
    except folders.CrashError:
        pass
    data.crash()
    assert read_disk(data) in [model.read(), *allowed]


def list_states(model, after, operation):
    """Return the stored states that a crash in an operation may leave."""
    states = [after.read()]
    if isinstance(operation, storage.SaveSnapshot):
        # The log is truncated after the snapshot is in place.
        states.append((model.state, after.header, model.read()[2]))
    return states


def test_os_folder_recovers_from_a_torn_tail_and_locks_out_others(tmp_path):
    path = tmp_path / 'new' / 'data'
    opened = folder.OsFolder(str(path))
    stores = open_disk(opened)
    stores.execute(append(1, 3))
    header = stored.Snapshot(2, 1, MEMBERS)
    stores.execute(storage.SaveSnapshot(header, (stored.Noop(),), 3, 3))
    stores.execute(storage.SaveState(stored.State(2, '')))
    with pytest.raises(errors.StorageError, match='in use'):
        folder.OsFolder(str(path))
    opened.close()
    with (path / 'log').open('ab') as log:
        log.write(b'SWF1 torn')
    found = open_disk(folder.OsFolder(str(path))).recover()
    assert found.entries == build_entries(3, 1)
    assert (found.header, found.state) == (header, stored.State(2, ''))


def test_folder_that_cannot_be_written_is_named_in_the_error(tmp_path):
    (tmp_path / 'file').write_text('not a folder')
    with pytest.raises(errors.StorageError) as caught:
        folder.OsFolder(str(tmp_path / 'file'))
    assert caught.value.peer.startswith(str(tmp_path / 'file'))
    assert str(caught.value).count('\n') == 0
