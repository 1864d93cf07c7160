"""Send calls on connections to entries, and record their answers."""

import asyncio
import time

from linnetwood.lab.soak.fatalparts import header
from linnetwood.lab.soak.fleet import CALLERS_PORT, Vm
from linnetwood.lab.soak.history import Call, CallKind

_CONNECTION_ERRORS = (OSError, EOFError, ValueError)
_HEX_BASE = 16
_MILLISECONDS = 1000
_CONNECT_TIMEOUT_S = 1.0


class Connection:
    """A persistent connection to an entry, reopened once it is closed."""

    def __init__(self, vm: Vm) -> None:
        """Start without a connection."""
        self._vm = vm
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(
        self, call: Call, events: int, disconnect_after_s: float
    ) -> None:
        """Send a call and read its answer, or disconnect before its end."""
        try:
            async with asyncio.timeout(disconnect_after_s or call.patience_s):
                await self._run(call, events)
        except TimeoutError:
            call.left_at = time.monotonic()
            self.close()
        except _CONNECTION_ERRORS:
            self.close()
        call.ended_at = time.monotonic()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _run(self, call: Call, events: int) -> None:
        call.on_kept_connection = self._streams is not None
        if self._streams is None:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(
                    self._vm.host,
                    CALLERS_PORT,
                )
        reader, writer = self._streams
        method = 'GET' if call.kind is CallKind.IDEMPOTENT else 'POST'
        call.sent_at = time.monotonic()
        head = (
            f'{method} {call.path} HTTP/1.1\r\nHost: {call.host}\r\n'
            f'X-Attempt-Id: {call.call_id}\r\n'
            f'X-Deadline-Ms: {int(call.patience_s * _MILLISECONDS)}\r\n'
            f'X-Model: m-1\r\nX-Token-Counts: 10,{events}\r\n'
            f'X-Prompt-Prefix: {header(call.parts)}\r\n'
            f'Authorization: Bearer {call.key}\r\nContent-Length: 0\r\n\r\n'
        )
        writer.write(head.encode())
        await writer.drain()
        call.written_at = time.monotonic()
        await self._read(call, reader)

    async def _read(self, call: Call, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, *lines = head.split('\r\n')
        headers = dict(
            line.lower().split(': ', 1) for line in lines if ': ' in line
        )
        call.status = int(status_line.split(' ')[1])
        signature = [
            line.partition(': ')[2]
            for line in lines
            if line.lower().startswith('x-server-signature')
        ]
        call.signature = ''.join(signature)
        if headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(call, reader)
        else:
            size = int(headers.get('content-length', '0'))
            call.body = (await reader.readexactly(size)).decode('latin-1')
        call.whole = True
        if headers.get('connection') == 'close':
            self.close()

    async def _read_chunks(
        self,
        call: Call,
        reader: asyncio.StreamReader,
    ) -> None:
        size = -1
        while size:
            size = int((await reader.readline()).strip(), _HEX_BASE)
            chunk = await reader.readexactly(size + 2)
            call.body += chunk[:size].decode('latin-1')
