"""Runs a program of the users' platform as on a machine that loses power.

The synced state of the data folder is kept in a folder beside it, which the
test puts in its place when the machine loses power. Links between processes
pass through a relay, which loses what the network loses.
"""

import asyncio
import os
import pathlib
import shutil
import sys
import time

from measurements import machines, wires
from shallotwharf.adapters import folder
from shallotwharf.platform import __main__ as entry

_SYNC_MS = int(os.environ.get('SHALLOTWHARF_SYNC_MS', '0'))
_HOST = os.environ.get('SHALLOTWHARF_HOST', '')
_RELAY_PORT = int(os.environ.get('SHALLOTWHARF_RELAY_PORT', '0'))
_LINK_PORT = int(os.environ.get('SHALLOTWHARF_LINK_PORT', '0'))
_connect = asyncio.BaseEventLoop.create_connection


class SyncedFolder(folder.OsFolder):
    """A folder whose syncs take time, with a copy of what was synced."""

    __slots__ = ('_data', '_synced', '_inodes')

    def __init__(self, path):
        super().__init__(path)
        self._data = pathlib.Path(path)
        self._synced = self._data.with_name(
            self._data.name + machines.SYNCED_SUFFIX
        )
        self._synced.mkdir(exist_ok=True)
        # Inodes by name at the latest sync of the names.
        self._inodes = {}

    def sync(self, file):
        # What is lost is emulated, and other programs delay real syncs.
        time.sleep(_SYNC_MS / 1000)
        copied = self._synced / f'{file}.copy'
        shutil.copyfile(self._data / file, copied)
        copied.replace(self._synced / file)

    def sync_names(self):
        time.sleep(_SYNC_MS / 1000)
        names = {path.name for path in self._data.iterdir()}
        for path in self._synced.iterdir():
            if path.name not in names:
                path.unlink()
        for name in names:
            # A rename keeps the content that was synced before it.
            source, target = self._data / name, self._synced / name
            if not target.exists() or (
                source.stat().st_ino != self._inodes.get(name)
            ):
                shutil.copyfile(source, target)
        self._inodes = {
            path.name: path.stat().st_ino for path in self._data.iterdir()
        }


async def async_connect(loop, factory, host=None, port=None, **options):
    """Connect through the relay if it is a link to another process."""
    if host and port == _LINK_PORT:
        options['sock'] = await wires.async_open(
            loop, _RELAY_PORT, _HOST, host, port
        )
        host, port = None, None
    return await _connect(loop, factory, host, port, **options)


if __name__ == '__main__':
    asyncio.BaseEventLoop.create_connection = async_connect
    folder.OsFolder = SyncedFolder
    sys.exit(entry.main(sys.argv[1:]))
