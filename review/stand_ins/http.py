"""A small HTTP/1.1 client and the reading of messages, on asyncio streams."""

import asyncio
import typing


class Answer(typing.NamedTuple):
    """Status, headers (names in lower case) and body of a response."""

    status: int
    headers: dict[str, str]
    body: bytes


class Head(typing.NamedTuple):
    """Start line and headers (names in lower case) of a message."""

    line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin1').split('\r\n')
    fields = (line.partition(':') for line in lines[1:] if line)
    return Head(
        lines[0],
        {name.strip().lower(): text.strip() for name, _, text in fields},
    )


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', '0')))


def build_request(
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    if body or method in {'PUT', 'POST'}:
        headers = {**headers, 'Content-Length': str(len(body))}
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join([*lines, '', '']).encode('latin1') + body


async def _fetch(
    address: tuple[str, int], request: bytes, connect_s: float
) -> Answer:
    async with asyncio.timeout(connect_s):
        reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        head = await read_head(reader)
        while head.line.split()[1].startswith('1'):
            head = await read_head(reader)
        body = await read_body(reader, head.headers)
    finally:
        writer.transport.abort()
    return Answer(int(head.line.split()[1]), head.headers, body)


async def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 1,
) -> Answer | None:
    """Send a request on a new connection; None if it gets no answer."""
    fields = {'Host': f'{address[0]}:{address[1]}', **(headers or {})}
    request = build_request(method, path, fields, body)
    try:
        async with asyncio.timeout(timeout_s):
            return await _fetch(address, request, min(1, timeout_s))
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return None
