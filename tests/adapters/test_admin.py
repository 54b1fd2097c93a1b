"""Guards against a shutdown that waits for an answer nobody can give yet."""

import asyncio
import time

from tornado import web

from shallotwharf.adapters import admin
from tests import callnodes


class Hanging(web.RequestHandler):
    async def get(self):
        await asyncio.sleep(30)


def test_close_does_not_wait_for_a_request_that_hangs():
    async def async_run():
        port = callnodes.find_port()
        server = admin.serve((callnodes.HOST, port), [('/', Hanging)])
        _, writer = await asyncio.open_connection(callnodes.HOST, port)
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        await asyncio.sleep(0.1)
        began = time.monotonic()
        await admin.async_close(server)
        writer.close()
        return time.monotonic() - began

    assert asyncio.run(async_run()) < 2
