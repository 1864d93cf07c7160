"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(slots=True)
class Request:
    """A request that was read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]

    def query(self, name: str, default: str = '') -> str:
        """Return one field of the query."""
        fields = urllib.parse.parse_qs(self.target.partition('?')[2])
        return fields.get(name, [default])[0]


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def listen(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; the handler returns whether the connection stays open."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                req = await _read_request(reader)
                if req is None or not await handler(req, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size)
    return Request(method, target, headers, body)


async def reply(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> bool:
    """Write a whole answer with a length; the connection stays open."""
    lines = [f'HTTP/1.1 {status} Answer', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
    await writer.drain()
    return True


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client received; `whole` by the framing of the answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    error: str = ''


async def ask(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 10,
) -> Answer:
    """Send one request on a connection of its own, and read the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join(lines).encode('latin-1')
            writer.write(head + b'\r\n\r\n' + body)
            await _read_answer(reader, answer)
    except (OSError, EOFError, ValueError) as exc:
        answer.error = repr(exc)
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        answer.headers[name.strip().lower()] = text.strip()
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        size = -1
        while size:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:size]
    else:
        size = int(answer.headers.get('content-length', '0'))
        answer.body = await reader.readexactly(size)
    answer.whole = True
