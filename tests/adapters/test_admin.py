"""Guards against a shutdown that is delayed by a pending request."""

import asyncio
import time

import pytest
from tornado import web

from shallotwharf.adapters import admin
from tests import callnodes


class Hanging(web.RequestHandler):
    async def get(self):
        await asyncio.sleep(30)


async def async_hang(_request):
    await asyncio.sleep(30)


def make_web_server(host, port):
    return admin.WebServer((host, port), [('/', Hanging)])


def make_admin_server(host, port):
    return admin.AdminServer(host, port, {('GET', '/'): async_hang})


@pytest.mark.parametrize('make', [make_web_server, make_admin_server])
def test_close_does_not_wait_for_a_pending_request(make):
    async def async_run():
        port = callnodes.find_port()
        server = make(callnodes.HOST, port)
        server.listen()
        _, writer = await asyncio.open_connection(callnodes.HOST, port)
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        await asyncio.sleep(0.1)
        began = time.monotonic()
        await server.async_close()
        writer.close()
        return time.monotonic() - began

    assert asyncio.run(async_run()) < 2
