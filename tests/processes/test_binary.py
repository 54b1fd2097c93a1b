"""Guards against a launcher that stays as the parent of the program.

The single-file program must run as one process, also on its first start, when
the launcher unpacks it.
"""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from measurements import site as processes

ROOT = pathlib.Path(__file__).parents[2]


def list_process_group(group_id):
    """Return the process ids of a process group."""
    found = []
    for folder in pathlib.Path('/proc').glob('[0-9]*'):
        try:
            group = os.getpgid(int(folder.name))
        except ProcessLookupError:
            continue
        if group == group_id:
            found.append(int(folder.name))
    return found


@pytest.mark.timeout(400)
def test_program_is_one_file_and_one_process(tmp_path):
    program = tmp_path / 'shallotwharf'
    subprocess.run(
        [ROOT / 'packaging/build.sh', sys.executable, program],
        check=True,
        timeout=300,
        capture_output=True,
    )
    settings = tmp_path / 'control.json'
    site = processes.Site(tmp_path, {'n1': 'dc-0'}, control_count=1)
    settings.write_text(
        json.dumps(
            {
                'name': 'control-0',
                'data_folder': str(tmp_path / 'data'),
                'control': site.control,
            }
        )
    )
    started = subprocess.Popen(
        [program, 'control', '--settings', settings],
        env=os.environ
        | {'SHALLOTWHARF_UNPACK_FOLDER': str(tmp_path / 'unpacked')},
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        processes.wait_until(site.find_leader, limit_seconds=60)
        assert list_process_group(started.pid) == [started.pid]
    finally:
        started.terminate()
        assert started.wait(timeout=20) == 0
