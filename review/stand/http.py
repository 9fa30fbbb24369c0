"""Minimal HTTP/1.1 over asyncio streams, with access to raw bytes."""

import asyncio

MAX_HEAD = 65_536


class Message:
    """Start line, header pairs and body of one HTTP message."""

    def __init__(self, start, headers, body, is_complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def get(self, name, default=None):
        """Return the first header of this name."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return default

    @property
    def status(self):
        """Status code of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader):
    """Return start line and headers, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers.append((name.strip(), text.strip()))
    return Message(lines[0], headers, b'')


async def read_body(reader, head, *, is_response):
    """Fill in the body of a message; mark it when it ends early."""
    length = head.get('Content-Length')
    try:
        if (head.get('Transfer-Encoding') or '').lower() == 'chunked':
            parts = []
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    break
            head.body = b''.join(parts)
        elif length is not None:
            head.body = await reader.readexactly(int(length))
        elif is_response:
            head.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        head.is_complete = False
    return head


def encode(start, headers, body=b''):
    """Return the bytes of a message with its length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(host, port, method, path, headers=(), body=b'', timeout_s=5.0,
               source=None):
    """Make one call on a new connection; None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0) if source else None)
            writer.write(encode(f'{method} {path} HTTP/1.1',
                                [('Host', f'{host}:{port}'), *headers], body))
            head = await read_head(reader)
            if head is None:
                return None
            await read_body(reader, head, is_response=True)
            return head if head.is_complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
