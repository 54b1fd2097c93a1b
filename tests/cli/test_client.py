"""Guards against a command that fails because one control process is down."""

import asyncio
import threading

import pytest

from measurements import site as processes
from shallotwharf.adapters import admin
from shallotwharf.cli import client
from shallotwharf.core import errors


@pytest.fixture
def live_port():
    port = processes.find_ports(1)[0]
    loop = asyncio.new_event_loop()
    started = threading.Event()

    async def async_reply(_request):
        return admin.AdminReply(200, {'name': 'live'})

    async def async_serve():
        admin.AdminServer(
            processes.HOST, port, {('GET', '/health'): async_reply}
        ).listen()
        started.set()
        await asyncio.Event().wait()

    def run():
        with pytest.raises(asyncio.CancelledError):
            loop.run_until_complete(serving)

    serving = loop.create_task(async_serve())
    thread = threading.Thread(target=run)
    thread.start()
    started.wait()
    yield port
    loop.call_soon_threadsafe(serving.cancel)
    thread.join()
    loop.close()


def test_next_address_is_asked_if_one_is_down(live_port):
    dead = processes.find_ports(1)[0]
    asked = client.Client(
        [f'{processes.HOST}:{dead}', f'{processes.HOST}:{live_port}']
    )
    assert asked.read('/health').body == {'name': 'live'}


def test_all_addresses_down_is_one_error_each():
    dead = f'{processes.HOST}:{processes.find_ports(1)[0]}'
    with pytest.raises(ExceptionGroup) as caught:
        client.Client([dead, dead]).read('/health')
    assert len(caught.value.exceptions) == 2
    assert isinstance(caught.value.exceptions[0], errors.LinkError)
    assert dead in caught.value.exceptions[0].peer
