"""Guards against a command that fails because one control process is down."""

import asyncio
import socket
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

    unavailable = iter([503, 503])

    async def async_reply(_request):
        return admin.AdminReply(200, {'name': 'live'})

    async def async_elect(_request):
        return admin.AdminReply(next(unavailable, 200), {})

    async def async_serve():
        admin.AdminServer(
            processes.HOST,
            port,
            {
                ('GET', '/health'): async_reply,
                ('POST', '/edits'): async_elect,
                ('POST', '/members'): async_elect,
            },
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


def test_edit_is_sent_again_while_there_is_no_leader(live_port):
    """Guards against a command that fails because of an election."""
    control_client = client.Client([f'{processes.HOST}:{live_port}'])
    edit = {'request_id': 'x', 'base': 0}
    assert control_client.write('/edits', edit).status == 200


def test_change_without_a_request_id_is_sent_once(live_port):
    """Guards against a change that is made twice."""
    control_client = client.Client([f'{processes.HOST}:{live_port}'])
    assert control_client.write('/members', {'name': 'x'}).status == 503


def test_next_address_is_tried_after_a_response_without_json(live_port):
    """Guards against a command that ends at a proxy or another service."""
    with socket.socket() as other:
        other.bind((processes.HOST, 0))
        other.listen()
        thread = threading.Thread(target=answer_in_plain_text, args=(other,))
        thread.start()
        port = other.getsockname()[1]
        control_client = client.Client(
            [f'{processes.HOST}:{port}', f'{processes.HOST}:{live_port}']
        )
        assert control_client.read('/health').body == {'name': 'live'}
        thread.join()


def answer_in_plain_text(listening):
    accepted, _ = listening.accept()
    with accepted:
        accepted.recv(4096)
        accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')
