"""A stand-in for one server: a model server, or a plain one.

Usage: python3 -m review.standins.server NAME HOST PORT KIND VERSION GAP_MS

It writes what it does to standard output, a line of JSON each, and takes
commands, a line each, from standard input: `end` (the process ends) and
`rot N` (piece N turns bad now). The events of a stream come every GAP_MS.
"""

import asyncio
import json
import sys
import time
from typing import Any

from review.standins.http import Request, listen, reply
from review.standins.weights import CHUNKS, MODEL, piece

SLOTS = 16
_LOAD_S = 0.3
_PLAIN_ANSWER_S = 0.09
# How long a piece may be bad before a token made with it breaks WHOLE.
_BAD_ALLOWED_S = 3.0


def note(what: str, **fields: object) -> None:
    """Tell the case what happened."""
    row = {'at': time.monotonic(), 'what': what, **fields}
    sys.stdout.write(json.dumps(row) + '\n')
    sys.stdout.flush()


class Server:
    """The state of one server."""

    def __init__(
        self, name: str, kind: str, version: int, gap_s: float
    ) -> None:
        """Serve a version that is staged, too; 0 for none."""
        self.name = name
        self._gap_s = gap_s
        self.is_engine = kind == 'engine'
        self.serving = version
        self.loading = False
        self.sequence = 0
        self.running = 0
        self.staged: dict[int, bytes] = {}
        # When a piece turned bad by itself.
        self.rotten_at: dict[int, float] = {}
        # What is wrong with the pieces of the version that serves.
        self.wrong: dict[str, Any] = {}
        if version:
            self.staged = {one: piece(version, one) for one in range(CHUNKS)}

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        if req.path == '/health':
            return await reply(writer, 200, b'', {'X-Instance-Id': self.name})
        if req.path.startswith('/linnetwood/'):
            return await self._control(req, writer)
        return await self._call(req, writer)

    async def _control(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        call = req.path.split('/')[2]
        if call == 'report':
            return await reply(writer, 200, json.dumps(self._report()).encode())
        if call == 'stage-put':
            index = int(req.query('quantity'))
            self.staged[index] = req.body
            self.rotten_at.pop(index, None)
            return await reply(writer, 200)
        if call == 'stage-get':
            return await self._stage_get(req, writer)
        if call == 'order':
            return await self._order(json.loads(req.body), writer)
        return await reply(writer, 404)

    def _report(self) -> dict[str, Any]:
        models = []
        if self.serving:
            models = [{'name': MODEL, 'version': self.serving, 'adapters': []}]
        return {
            'stage': 'combined',
            'models': models,
            'utilization': self.loading,
            'sequence': self.sequence,
            'waiting': 0,
            'running': self.running,
            'kv_used': 1000 * self.running,
            'kv_total': 317000,
            'handles': 0,
        }

    async def _stage_get(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        index = req.query('quantity')
        if not index:
            held = {'held': sorted(self.staged)}
            return await reply(writer, 200, json.dumps(held).encode())
        found = self.staged.get(int(index))
        note('stage-get', server=self.name, index=int(index))
        if found is None:
            return await reply(writer, 404)
        return await reply(writer, 200, found)

    async def _order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        if order.get('operation') != 'start':
            return await reply(writer, 400)
        if order.get('expected_revision', self.sequence) != self.sequence:
            return await reply(writer, 409)
        if self.loading:
            return await reply(writer, 409)
        self.sequence += 1
        self.loading = True
        version = order['version']
        now = time.monotonic()
        wrong = {
            str(index): round(now - self.rotten_at.get(index, 0), 3)
            if index in self.rotten_at
            else 'never right'
            for index in range(CHUNKS)
            if self.staged.get(index) != piece(version, index)
        }
        note('order', server=self.name, version=version, wrong_for_s=wrong)
        asyncio.create_task(self._load(version, wrong))
        return await reply(writer, 202)

    async def _load(self, version: int, wrong: dict[str, Any]) -> None:
        # It finishes what runs, and takes nothing new.
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(_LOAD_S)
        self.loading = False
        self.serving = version
        self.wrong = {
            index: age
            for index, age in wrong.items()
            if age == 'never right' or age > _BAD_ALLOWED_S
        }
        note('serves', server=self.name, version=version)

    async def _call(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        call_id = req.headers.get('x-attempt-id', '')
        if req.headers.get('x-expected-instance', '') != self.name:
            return await reply(writer, 421, b'', {'X-Instance-Id': self.name})
        version = req.headers.get('x-expected-version', str(self.serving))
        if self.is_engine and (
            not self.serving or version != str(self.serving)
        ):
            return await reply(writer, 421, b'', {'At-Server': self.name})
        if self.loading or self.running >= SLOTS:
            return await reply(writer, 503, b'', {'X-Not-Executed': '1'})
        self.running += 1
        try:
            return await self._run(req, call_id, writer)
        finally:
            self.running -= 1

    async def _run(
        self, req: Request, call_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        note(
            'run',
            server=self.name,
            call=call_id,
            version=self.serving,
            after=req.headers.get('last-event-id', ''),
            wrong_pieces=self.wrong,
        )
        headers = {
            'X-Attempt-Id': call_id,
            'X-Server-Signature': f'{self.name}.{call_id}',
        }
        if not self.is_engine:
            await asyncio.sleep(_PLAIN_ANSWER_S)
            body = f'{self.name} {call_id}'.encode()
            note('answered', server=self.name, call=call_id)
            return await reply(writer, 200, body, headers)
        headers['X-Weight-Versions'] = str(self.serving)
        headers['Content-Type'] = 'text/event-stream'
        return await self._stream(req, call_id, headers, writer)

    async def _stream(
        self,
        req: Request,
        call_id: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write events, in chunks or until the connection ends.

        A server may do either; this one ends the answers to odd ids with
        their connections.
        """
        chunked = int(call_id, 16) % 2 == 0
        framing = (
            'Transfer-Encoding: chunked' if chunked else ('Connection: close')
        )
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, framing])
        writer.write(f'{head}\r\n\r\n'.encode())
        last = int(req.headers['x-token-counts'].partition(',')[2])
        after = int(req.headers.get('last-event-id') or 0)
        for number in range(after + 1, last + 1):
            await asyncio.sleep(self._gap_s)
            if writer.is_closing():
                note('stopped', server=self.name, call=call_id)
                return False
            event = f'id: {number}\ndata: {call_id}|{number}|{last}\n\n'
            if chunked:
                event = f'{len(event):x}\r\n{event}\r\n'
            writer.write(event.encode())
            await writer.drain()
            note('event', server=self.name, call=call_id, id=number)
        if chunked:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        note('finished', server=self.name, call=call_id)
        return chunked

    def command(self, line: str) -> None:
        """Carry out a command of the case."""
        order, _, rest = line.strip().partition(' ')
        if order == 'rot':
            index = int(rest)
            spoilt = bytearray(self.staged[index])
            spoilt[100] ^= 1
            self.staged[index] = bytes(spoilt)
            self.rotten_at[index] = time.monotonic()
            note('rot', server=self.name, index=index)


async def _main(
    name: str, host: str, port: str, kind: str, version: str, gap_ms: str
) -> None:
    server = Server(name, kind, int(version), int(gap_ms) / 1000)
    await listen(host, int(port), server.handle)
    note('started', server=name)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        if line.strip() == b'end':
            note('ends', server=name)
            break
        server.command(line.decode())


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
