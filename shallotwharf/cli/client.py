"""HTTP client of the commands."""

import functools
import json
import time
import typing
from collections import abc
from urllib import parse as url_parse

from tornado import curl_httpclient, httpclient, ioloop

from shallotwharf.cli import output
from shallotwharf.core import errors, records

_CONNECT_SECONDS: typing.Final = 2
_REQUEST_SECONDS: typing.Final = 15
_STEP: typing.Final = 'client.request'
_HTTP_UNAVAILABLE: typing.Final = 503
# An election takes up to 2 s, and longer while the processes get little
# processor time.
_RETRY_SECONDS: typing.Final = 10.0
_FIRST_PAUSE_SECONDS: typing.Final = 0.2


class Reply(records.Record):
    """Status and decoded JSON body of a response."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: dict[str, typing.Any]) -> None:
        self.status = status
        self.body = body


class Client:
    """Client that tries several processes in order until one responds.

    After a response with status 503, or one that is not of a control process,
    the next process is tried, because it may have found the leader. If all
    are unavailable, reads and edits are sent again for some seconds; an edit
    keeps its request id, so that it is applied only once.
    """

    __slots__ = ('_addresses',)

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses

    def read(
        self,
        path: str,
        query: abc.Mapping[str, object] | None = None,
    ) -> Reply:
        """Return the response to a GET request.

        Raises:
            ExceptionGroup: of `LinkError` and `ProtocolError`, if no process
                responds with a JSON body.
        """
        encoded = url_parse.urlencode(
            {
                name: part
                for name, part in (query or {}).items()
                if part is not None
            },
        )
        target = f'{path}?{encoded}' if encoded else path
        return self._repeat('GET', target, None)

    def write(self, path: str, document: dict[str, typing.Any]) -> Reply:
        """Return the response to a POST request with a JSON body.

        Raises:
            ExceptionGroup: of `LinkError` and `ProtocolError`, if no process
                responds with a JSON body.
        """
        send = self._repeat if 'request_id' in document else self._request
        return send('POST', path, json.dumps(document))

    def change(
        self,
        method: str,
        path: str,
        document: dict[str, typing.Any] | None = None,
    ) -> Reply:
        """Return the response to a change that may be sent again.

        Raises:
            ExceptionGroup: of `LinkError` and `ProtocolError`, if no process
                responds with a JSON body.
        """
        body = None if document is None else json.dumps(document)
        return self._repeat(method, path, body)

    def _repeat(self, method: str, path: str, body: str | None) -> Reply:
        """Return the first response that is not 503, or the last one."""
        ends_at = time.monotonic() + _RETRY_SECONDS
        pause_seconds = _FIRST_PAUSE_SECONDS
        reply = self._request(method, path, body)
        while (
            reply.status == _HTTP_UNAVAILABLE
            and time.monotonic() + pause_seconds < ends_at
        ):
            time.sleep(pause_seconds)
            pause_seconds *= 2
            reply = self._request(method, path, body)
        return reply

    def _request(self, method: str, path: str, body: str | None) -> Reply:
        failures: list[Exception] = []
        last: Reply | None = None
        for address in self._addresses:
            try:
                last = _run(method, f'http://{address}{path}', body)
            except (errors.LinkError, errors.ProtocolError) as error:
                failures.append(error)
            if last is not None and last.status != _HTTP_UNAVAILABLE:
                return last
        if last is None:
            raise ExceptionGroup('no process responded', failures)
        return last


def read_body(
    addresses: list[str],
    path: str,
    query: abc.Mapping[str, object] | None = None,
) -> dict[str, typing.Any]:
    """Return the JSON body of a GET response; exit if it is an error."""
    reply = Client(addresses).read(path, query)
    output.check_reply(reply.status, reply.body)
    return reply.body


def _run(method: str, url: str, body: str | None) -> Reply:
    reply: Reply = ioloop.IOLoop().run_sync(
        functools.partial(_async_fetch, method, url, body),
    )
    return reply


async def _async_fetch(method: str, url: str, body: str | None) -> Reply:
    http_client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    try:
        response = await http_client.fetch(
            httpclient.HTTPRequest(
                url,
                method=method,
                body=body,
                headers={'Content-Type': 'application/json'},
                connect_timeout=_CONNECT_SECONDS,
                request_timeout=_REQUEST_SECONDS,
            ),
            raise_error=False,
        )
    except httpclient.HTTPError as error:
        # The curl client raises for a failed connection despite raise_error.
        raise errors.LinkError(str(error), _STEP, url) from error
    finally:
        http_client.close()
    try:
        return Reply(response.code, json.loads(response.body))
    except ValueError as error:
        raise errors.ProtocolError(
            f'status {response.code} without a JSON body',
            _STEP,
            url,
        ) from error
