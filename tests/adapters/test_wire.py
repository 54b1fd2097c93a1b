"""Guards against HTTP messages that are split or delimited wrongly."""

import hypothesis
import pytest
from hypothesis import strategies
from tornado import httputil

from shallotwharf.adapters import partial, wire


class Messages(wire.Receiver):
    def __init__(self, limit=1 << 20):
        self.found = []
        self.limit = limit
        self.reader = wire.RequestReader(self)
        self.head = None

    def receive_head(self, start_line, headers):
        self.head = (start_line, sorted(headers.get_all()))
        length = wire.find_body_length(headers)
        return 0 if length == -1 else length

    def receive_size(self, size):
        return size <= self.limit

    def receive_end(self, body):
        self.found.append((*self.head, body))

    def feed(self, received):
        self.reader.feed(received)
        seen = -1
        while len(self.found) != seen:
            seen = len(self.found)
            if self.reader.is_paused():
                self.reader.resume()


def write_message(body, cuts):
    """Return a request; with `cuts` its body has chunks of these sizes."""
    if cuts is None:
        return b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body) + (
            body
        )
    text = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    rest = body
    for size in cuts:
        part, rest = rest[:size], rest[size:]
        if part:
            text += b'%x\r\n' % len(part) + part + b'\r\n'
    if rest:
        text += b'%X\r\n' % len(rest) + rest + b'\r\n'
    return text + b'0\r\nTrailer: x\r\n\r\n'


MESSAGES = strategies.tuples(
    strategies.binary(max_size=60),
    strategies.none() | strategies.lists(strategies.integers(1, 20)),
)


@hypothesis.given(
    strategies.lists(MESSAGES, max_size=3),
    strategies.lists(strategies.integers(1, 30)),
)
def test_any_split_of_the_bytes_gives_the_same_requests(rows, cuts):
    text = b''.join(write_message(*row) for row in rows)
    found = Messages()
    for size in cuts:
        part, text = text[:size], text[size:]
        if part:
            found.feed(part)
    if text:
        found.feed(text)
    assert [body for _, _, body in found.found] == [body for body, _ in rows]
    assert not found.reader.is_within_message()


@hypothesis.given(MESSAGES, strategies.data())
def test_truncated_request_is_not_delivered(row, data):
    text = write_message(*row)
    end = data.draw(strategies.integers(0, len(text) - 1))
    found = Messages()
    found.feed(text[:end])
    assert not found.found


class Responses(Messages):
    def __init__(self):
        super().__init__()
        self.reader = wire.ResponseReader(self)

    def receive_head(self, start_line, headers):
        self.head = (start_line, sorted(headers.get_all()))
        length = wire.find_body_length(headers)
        return None if length == -1 else length


STATUS_LINES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200\r\n',
    b'HTTP/1.0 200 OK\r\n',
    b'HTTP/1.1 200 OK\n',
)
RESPONSE_HEADERS = (
    b'Content-Length: 12\r\n\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n',
    b'\r\n',
    b'X: a\r\n\r\n',
    b'X: a\n\n',
    b'X: a\r\n\n',
    b'X: a\r\n b\r\n\r\n',
    b'Content-Length:\r\n 12\r\n\r\n',
    b'Content-Length: 12\rX: a\r\n\r\n',
    b'Content-Length: 1\r\n 2\r\n\r\n',
)


@pytest.mark.parametrize('line', STATUS_LINES)
@pytest.mark.parametrize('headers', RESPONSE_HEADERS)
@pytest.mark.parametrize('step', [1, 7, 99])
def test_head_cut_at_any_byte_is_not_completed_by_the_end(line, headers, step):
    """Guards against an empty body after a head that broke off."""
    head = line + headers
    for end in range(len(head)):
        found = Responses()
        try:
            for start in range(0, end, step):
                found.feed(head[start : min(start + step, end)])
            found.reader.finish()
        except httputil.HTTPInputError:
            pass
        assert not found.found and found.head is None, head[:end]


@pytest.mark.parametrize(
    'text',
    [
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n' + b'1' * 99,
        b'GET / HTTP/1.1\r\nNo colon\r\n\r\n',
        b'GET / HTTP/1.1\r\n Folded: x\r\n\r\n',
        b'GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n',
        b'GET / HTTP/1.1\r\n\n\r\n\r\n',
        b'GET / HTTP/1.1\nA: b\n\n',
        b'GET / HTTP/1.1\r\nA: ' + b'x' * partial.MAX_HEAD_BYTES,
    ],
)
def test_ambiguous_or_malformed_message_is_refused(text):
    with pytest.raises(httputil.HTTPInputError):
        Messages().feed(text)


def test_line_break_cannot_be_smuggled_into_a_head():
    headers = httputil.HTTPHeaders()
    headers._as_list['A'] = ['b\r\nC: d']
    with pytest.raises(ValueError, match='line break'):
        wire.build_head('GET / HTTP/1.1', headers)
