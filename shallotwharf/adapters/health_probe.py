"""Requests to the health path of the upstream beside a node."""

import asyncio
import typing
from collections import abc

from tornado import httputil

from shallotwharf.adapters import (
    connection,
    fields,
    header_format,
    headers,
    outbound,
    responses,
    sending,
)
from shallotwharf.core import call_interfaces, calls

TIMEOUT_SECONDS: typing.Final = 0.25

# Receives what the upstream states; nothing without a valid response.
Receive: typing.TypeAlias = abc.Callable[[call_interfaces.HealthAnswer], None]


class _Probe:
    """One probe until its response or timeout."""

    __slots__ = ('_request', '_format', '_receive', '_sent', '_timer')

    def __init__(
        self,
        request: call_interfaces.HealthRequest,
        used_format: header_format.HeaderFormat,
        receive: Receive,
    ) -> None:
        self._request = request
        self._format = used_format
        self._receive = receive
        self._sent: connection.Connection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def send(self, sender: outbound.Outbound) -> None:
        """Send the request."""
        request = self._request
        request_headers = fields.Fields()
        request_headers['Host'] = f'{request.host}:{request.port}'
        self._format.mark_probe(request_headers, request.number)
        outgoing = sending.Outgoing(
            httputil.RequestStartLine('GET', request.path, 'HTTP/1.1'),
            request_headers,
            b'',
            _is_always_ready,
            self._end,
            lambda stated: self._match(request_headers, stated),
        )
        self._timer = asyncio.get_running_loop().call_later(
            TIMEOUT_SECONDS, self._expire, outgoing
        )
        self._sent = sender.send(request.host, request.port, outgoing)

    def _match(
        self,
        sent: httputil.HTTPHeaders,
        received: httputil.HTTPHeaders,
    ) -> responses.Match:
        """Accept a response without an id: the connection has no calls."""
        match = self._format.match_response(sent, received)
        if match is responses.Match.FOREIGN:
            return match
        return responses.Match.PROVED

    def _end(
        self, _ended: calls.Result, response: responses.Response | None
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        answer = call_interfaces.UNKNOWN_HEALTH
        if response is not None and headers.is_success(response.status):
            answer = self._format.read_health(
                response.headers, self._request.instance
            )
        self._receive(answer)

    def _expire(self, outgoing: sending.Outgoing) -> None:
        if self._sent is not None:
            self._sent.cancel(outgoing)
        self._receive(call_interfaces.UNKNOWN_HEALTH)


class HealthProbe:
    """Sends probes on connections that no call uses.

    Probes take no slot of the gate.
    """

    __slots__ = ('_sender', '_format')

    def __init__(
        self,
        sender: outbound.Outbound,
        used_format: header_format.HeaderFormat,
    ) -> None:
        self._sender = sender
        self._format = used_format

    def send(
        self, request: call_interfaces.HealthRequest, receive: Receive
    ) -> None:
        """Send a probe; `receive` is called once."""
        _Probe(request, self._format, receive).send(self._sender)


def _is_always_ready() -> bool:
    return True
