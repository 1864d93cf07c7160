"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

RESET = struct.pack('ii', 1, 0)


@dataclasses.dataclass
class Request:
    """One request that was read whole."""

    method: str
    target: str
    headers: list
    body: bytes
    conn: 'Connection'

    def get(self, name, default=''):
        """Return the value of a header."""
        wanted = name.lower()
        for one, text in self.headers:
            if one.lower() == wanted:
                return text
        return default


class Connection:
    """One accepted connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closed = asyncio.Event()
        # A handler sets this when the connection must not be used again.
        self.done = False

    def reset(self):
        """Reset the connection."""
        sock = self.writer.get_extra_info('socket')
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()
        self.closed.set()

    async def write(self, data):
        """Write bytes; raise ConnectionError once the peer has left."""
        if self.closed.is_set():
            raise ConnectionResetError
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status, headers=(), body=b'', reason='Answer'):
        """Write a whole answer with a length."""
        lines = [f'HTTP/1.1 {status} {reason}']
        lines += [f'{name}: {text}' for name, text in headers]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        await self.write(head.encode('latin-1') + body)

    async def begin(self, status, headers=()):
        """Write the head of an answer in chunks."""
        lines = [f'HTTP/1.1 {status} OK']
        lines += [f'{name}: {text}' for name, text in headers]
        lines.append('Transfer-Encoding: chunked')
        await self.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1'))

    async def chunk(self, data):
        """Write one chunk; an empty one ends the answer."""
        await self.write(b'%x\r\n%s\r\n' % (len(data), data))


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in rest:
        name, _, text = line.partition(':')
        headers.append((name, text.strip()))
    return first, headers


async def read_body(reader, headers):
    """Return the body that the headers frame; raise if it is cut."""
    by_name = {name.lower(): text for name, text in headers}
    if 'chunked' in by_name.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    length = by_name.get('content-length')
    if length is None:
        return b''
    return await reader.readexactly(int(length))


class Server:
    """Serve one address; `handler(request)` writes the answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.open = set()

    async def start(self, host, port):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    async def stop(self, reset=False):
        """Stop listening, and end the open connections."""
        if self.server is not None:
            self.server.close()
        for conn in tuple(self.open):
            if reset:
                conn.reset()
            else:
                conn.writer.close()

    async def _serve(self, reader, writer):
        conn = Connection(reader, writer)
        self.open.add(conn)
        try:
            while not conn.done:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                req = Request(method, target, head[1], body, conn)
                await self._handle(req)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            conn.closed.set()
            self.open.discard(conn)
            with contextlib.suppress(Exception):
                writer.close()

    async def _handle(self, req):
        """Run the handler, and cancel it when the peer leaves."""
        conn = req.conn
        work = asyncio.create_task(self.handler(req))
        work.add_done_callback(_retrieve)
        watch = asyncio.create_task(_until_left(conn))
        done, _ = await asyncio.wait(
            (work, watch), return_when=asyncio.FIRST_COMPLETED
        )
        if work not in done:
            conn.closed.set()
            work.cancel()
        watch.cancel()
        await asyncio.gather(work, watch, return_exceptions=True)
        if work in done and work.exception() is not None:
            raise work.exception()
        if conn.closed.is_set():
            conn.done = True


def _retrieve(work):
    """Take the error of a handler whose connection has ended."""
    if not work.cancelled():
        work.exception()


async def _until_left(conn):
    """Return when the peer has closed or reset the connection."""
    while not conn.reader.at_eof():
        if conn.reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


@dataclasses.dataclass
class Answer:
    """What a client got: status 0 if there was no whole answer."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    error: str = ''
    first_s: float = 0
    end_s: float = 0


async def ask(host, port, method, target, headers, body=b'', limit_s=10,
              on_bytes=None):
    """Send one request on a new connection and return its answer."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    got = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 20
            )
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers]
            if body or method in {'POST', 'PUT'}:
                lines.append(f'Content-Length: {len(body)}')
            raw = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
            writer.write(raw + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                got.error = 'closed without an answer'
                return got
            got.status = int(head[0].split(' ')[1])
            got.headers = {name.lower(): text for name, text in head[1]}
            got.first_s = loop.time() - began
            await _collect(reader, got, on_bytes)
            got.whole = True
    except TimeoutError:
        got.error = 'deadline'
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as exc:
        got.error = f'cut: {type(exc).__name__}'
    finally:
        got.end_s = loop.time() - began
        if writer is not None:
            writer.close()
    return got


async def _collect(reader, got, on_bytes):
    """Read the body piece by piece."""
    if 'chunked' in got.headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return
            got.body += part[:-2]
            if on_bytes is not None:
                on_bytes(part[:-2])
    left = int(got.headers.get('content-length', '0'))
    while left:
        part = await reader.read(left)
        if not part:
            raise asyncio.IncompleteReadError(b'', left)
        left -= len(part)
        got.body += part
        if on_bytes is not None:
            on_bytes(part)
