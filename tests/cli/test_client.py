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


def test_next_address_is_tried_if_one_is_unreachable(live_port):
    unreachable = processes.find_ports(1)[0]
    control_client = client.Client(
        [f'{processes.HOST}:{unreachable}', f'{processes.HOST}:{live_port}']
    )
    assert control_client.read('/health').body == {'name': 'live'}


def test_each_unreachable_address_gives_one_error():
    unreachable = f'{processes.HOST}:{processes.find_ports(1)[0]}'
    with pytest.raises(ExceptionGroup) as caught:
        client.Client([unreachable, unreachable]).read('/health')
    assert len(caught.value.exceptions) == 2
    assert isinstance(caught.value.exceptions[0], errors.LinkError)
    assert unreachable in caught.value.exceptions[0].peer
