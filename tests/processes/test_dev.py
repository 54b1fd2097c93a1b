"""Guards against a `dev` mode that reports `ready` too early.

A call sent right after the `ready` event must succeed, and SIGTERM must end the
process with exit status 0 and without a traceback.
"""

import json
import pathlib
import re
import signal
import subprocess
import sys
import urllib.request

from measurements import site as processes

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'dev'


def write_settings(folder):
    """Write the example settings with free ports and a separate data folder."""
    for name in ('routes.json', 'pools.json'):
        (folder / name).write_text((EXAMPLE / name).read_text())
    text = (EXAMPLE / 'settings.json').read_text()
    used = sorted(set(re.findall(r'\b71\d\d\b', text)))
    ports = dict(zip(used, processes.find_ports(len(used)), strict=True))
    text = re.sub(r'\b71\d\d\b', lambda old: str(ports[old.group()]), text)
    document = json.loads(text)
    document['control']['data_folder'] = str(folder / 'data')
    (folder / 'settings.json').write_text(json.dumps(document))
    return folder / 'settings.json'


def test_ready_means_that_a_call_is_served_and_sigterm_exits_cleanly(tmp_path):
    started = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'shallotwharf',
            'dev',
            '--settings',
            str(write_settings(tmp_path)),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        for line in started.stdout:
            if 'event=ready' in line:
                break
        address = re.search(r'calls="?(http://[^\s"]+)', line)[1]
        with urllib.request.urlopen(f'{address}menu', timeout=5) as response:
            assert response.status == 200
        started.send_signal(signal.SIGTERM)
        rest = started.stdout.read()
        assert started.wait(20) == 0, rest
        assert 'Traceback' not in rest
    finally:
        started.kill()
