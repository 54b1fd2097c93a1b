"""Forwarding servers of the latency measurement: tornado with each client."""

import asyncio
import io
import socket

import pycurl
from tornado import (
    curl_httpclient,
    http1connection,
    httpclient,
    httputil,
    iostream,
)

from shallotwharf.adapters import outbound, responses, sending
from shallotwharf.core import calls, counters

HOST = '127.0.0.1'


class Forwarder(httputil.HTTPServerConnectionDelegate):
    """Server delegate that forwards each request by an outbound client."""

    __slots__ = ('send',)

    def __init__(self, send):
        self.send = send

    def start_request(self, server_conn, request_conn):
        return ForwardedRequest(request_conn, self.send)

    def on_close(self, server_conn):
        pass


class ForwardedRequest(httputil.HTTPMessageDelegate):
    __slots__ = (
        'connection',
        'send',
        'start_line',
        'headers',
    )

    def __init__(self, connection, send):
        self.connection = connection
        self.send = send

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def finish(self):
        self.send(self.start_line, self.headers, self.respond)

    def respond(self, status, headers, body):
        headers['Content-Length'] = str(len(body))
        self.connection.write_headers(
            httputil.ResponseStartLine('', status, 'OK'), headers, body
        )
        self.connection.finish()


def make_tornado_curl(port):
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    def send(start_line, headers, respond):
        request = httpclient.HTTPRequest(
            f'http://{HOST}:{port}{start_line.path}',
            method=start_line.method,
            headers=headers,
        )

        def done(future):
            response = future.result()
            respond(response.code, response.headers, response.body)

        client.fetch(request).add_done_callback(done)

    return send


class CurlMulti:
    """Client by pycurl's multi interface on the event loop, reusing handles."""

    __slots__ = (
        'port',
        'loop',
        'multi',
        'idle',
        'timer',
    )

    def __init__(self, port):
        self.port = port
        self.loop = asyncio.get_running_loop()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self.on_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.on_timer)
        self.idle = []
        self.timer = None

    def on_socket(self, event, fd, multi, data):
        self.loop.remove_reader(fd)
        self.loop.remove_writer(fd)
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self.loop.add_reader(
                fd, self.run_socket_action, fd, pycurl.CSELECT_IN
            )
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self.loop.add_writer(
                fd, self.run_socket_action, fd, pycurl.CSELECT_OUT
            )

    def on_timer(self, timeout_ms):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if timeout_ms == 0:
            self.timer = self.loop.call_soon(
                self.run_socket_action, pycurl.SOCKET_TIMEOUT, 0
            )
        elif timeout_ms > 0:
            self.timer = self.loop.call_later(
                timeout_ms / 1000,
                self.run_socket_action,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def run_socket_action(self, fd, events):
        self.multi.socket_action(fd, events)
        self.finish_completed()

    def finish_completed(self):
        while True:
            left, done, failed = self.multi.info_read()
            assert not failed, failed
            for handle in done:
                self.multi.remove_handle(handle)
                self.idle.append(handle)
                headers = httputil.HTTPHeaders()
                for line in handle.lines[1:]:
                    headers.parse_line(line.decode('latin1'))
                status = handle.getinfo(pycurl.RESPONSE_CODE)
                handle.respond(status, headers, handle.buffer.getvalue())
            if not left:
                return

    def send(self, start_line, headers, respond):
        handle = self.idle.pop() if self.idle else self.make_handle()
        handle.buffer = io.BytesIO()
        handle.lines = []
        handle.respond = respond
        handle.setopt(pycurl.URL, f'http://{HOST}:{self.port}{start_line.path}')
        handle.setopt(
            pycurl.HTTPHEADER,
            [f'{name}: {field}' for name, field in headers.get_all()],
        )
        handle.setopt(pycurl.WRITEFUNCTION, handle.buffer.write)
        handle.setopt(pycurl.HEADERFUNCTION, handle.lines.append)
        self.multi.add_handle(handle)
        # The transfer may complete within this call.
        self.run_socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def make_handle(self):
        handle = pycurl.Curl()
        handle.setopt(pycurl.NOSIGNAL, 1)
        return handle


class Http1Client(httputil.HTTPMessageDelegate):
    """Client by tornado's `HTTP1Connection` on persistent connections."""

    __slots__ = (
        'port',
        'idle',
    )

    def __init__(self, port):
        self.port = port
        self.idle = []

    def send(self, start_line, headers, respond):
        if self.idle:
            self.idle.pop().send(start_line, headers, respond)
        else:
            opened = Http1Stream(self)
            opened.task = asyncio.ensure_future(
                opened.run(start_line, headers, respond)
            )


class Http1Stream(httputil.HTTPMessageDelegate):
    __slots__ = (
        'client',
        'stream',
        'http',
        'respond',
        'status',
        'headers',
        'body',
    )

    def __init__(self, client):
        self.client = client
        self.stream = iostream.IOStream(socket.socket())
        self.http = self.open_connection()

    def open_connection(self):
        return http1connection.HTTP1Connection(self.stream, True)

    def send(self, start_line, headers, respond):
        self.respond = respond
        self.http.write_headers(start_line, headers)
        self.http.finish()

    async def run(self, *first):
        await self.stream.connect((HOST, self.client.port))
        self.send(*first)
        while await self.http.read_response(self):
            self.http = self.open_connection()
            self.client.idle.append(self)

    def headers_received(self, start_line, headers):
        self.status = start_line.code
        self.headers = headers
        self.body = b''

    def data_received(self, chunk):
        self.body += chunk

    def finish(self):
        self.respond(self.status, self.headers, self.body)


def make_outbound(port):
    sender = outbound.Outbound(counters.Counters())

    def send(start_line, headers, respond):
        def done(ended, response):
            assert ended.outcome == calls.OUTCOME_ANSWERED, ended
            respond(response.status, response.headers, response.body)

        sender.send(
            HOST,
            port,
            sending.Outgoing(
                start_line,
                headers,
                b'',
                lambda: True,
                done,
                lambda _: responses.Match.PROVED,
            ),
        )

    return send
