"""Guards against a process that SIGHUP ends, or that SIGTERM ends uncleanly."""

import signal
import subprocess
import sys
import time

CODE = """
from shallotwharf.roles import process

class Idle(process.Process):
    __slots__ = ()
    async def async_start(self):
        print('started', flush=True)
    async def async_stop(self):
        print('left', flush=True)

process.run(Idle, 'INFO')
"""


def test_sighup_does_not_end_a_process_and_sigterm_ends_it_cleanly():
    started = subprocess.Popen(
        [sys.executable, '-c', CODE], stdout=subprocess.PIPE, text=True
    )
    assert started.stdout.readline() == 'started\n'
    started.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    assert started.poll() is None
    started.send_signal(signal.SIGTERM)
    lines = started.stdout.read().splitlines()
    # All other lines are log lines.
    assert [line for line in lines if 'event=' not in line] == ['left']
    assert 'event=reload_ignored' in lines[0]
    assert 'event=stopped' in lines[-1]
    assert started.wait(5) == 0
