"""Stand-in servers of the soak that fall silent, for a time or for good."""

import asyncio
import unittest

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from linnetwood.lab.launcher import Ports
from linnetwood.lab.soak import standcontrol
from linnetwood.lab.soak.standanswers import HeldAnswer
from linnetwood.lab.soak.standservers import Server, Servers, Silence

NAME = 'i-1'
# A wait that shows that nothing is written; no test fails if it is too short.
QUIET_S = 0.3
HEADERS = {
    'X-Attempt-Id': 'c-1',
    'X-Expected-Instance': NAME,
    'X-Token-Counts': '1,40',
}
# The answers of these end by their last chunk, and with their connection.
CALL_IDS = ('c-0', 'c-1')


def whole(call_id: str) -> str:
    """Return the whole answer of a call."""
    return ''.join(
        f'id: {one}\ndata: {call_id}|{one}|40|1\n\n' for one in range(1, 41)
    )


class RecordingAnswer:
    """Record what is written."""

    def __init__(self, done: list[str]) -> None:
        """Add to a list."""
        self._done = done

    def begin(self) -> None:
        """Record the head."""
        self._done.append('begin')

    async def send(self, piece: str) -> None:
        """Record a piece."""
        self._done.append(piece)

    async def end(self) -> None:
        """Record the end."""
        self._done.append('end')


class SilentStandInTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a soak whose silent servers write, or end answers."""

    async def asyncSetUp(self) -> None:
        """Start an engine that serves version 1."""
        self.servers = Servers()
        port = Ports().take(1)[0]
        standcontrol.add_server(self.servers, NAME, 'pool', 2, port)
        self.server: Server = self.servers.servers[NAME]
        self.addCleanup(self.server.crash)
        self.server.serving = 1
        self.port = port
        self.url = f'http://127.0.0.1:{port}'
        self.pieces: list[bytes] = []
        self.client = AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)

    def call(
        self, call_id: str = 'c-1', server: str = NAME
    ) -> 'asyncio.Future[HTTPResponse]':
        """Send a call, and collect the pieces of its answer."""
        return self.client.fetch(
            f'{self.url}/chat/x',
            method='POST',
            body='',
            headers={
                **HEADERS,
                'X-Attempt-Id': call_id,
                'X-Expected-Instance': server,
            },
            streaming_callback=self.pieces.append,
        )

    def report(self) -> 'asyncio.Future[HTTPResponse]':
        """Ask for the report."""
        return self.client.fetch(f'{self.url}/linnetwood/report')

    async def assert_waits(self, fut: 'asyncio.Future[HTTPResponse]') -> None:
        """Check that nothing more is written, and the answer does not end."""
        # What was written just before the silence is still on its way.
        await asyncio.sleep(QUIET_S)
        count = len(self.pieces)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(len(self.pieces), count)
        self.assertFalse(fut.done())

    async def test_before_the_first_event(self) -> None:
        """The call runs, nothing is written, then the whole answer."""
        self.server.fall_silent(Silence.ANSWERS)
        fut = self.call()
        await self.assert_waits(fut)
        self.assertEqual(len(self.servers.runs), 1)
        self.assertGreater(self.servers.arrivals[0].held_until, 0)
        self.server.fall_silent(Silence.NONE)
        await fut
        self.assertEqual(b''.join(self.pieces).decode(), whole('c-1'))

    async def test_between_events(self) -> None:
        """Answers of each framing go on after a silence, and are whole."""
        for call_id in CALL_IDS:
            self.pieces.clear()
            fut = self.call(call_id=call_id)
            while not self.pieces:
                await asyncio.sleep(0)
            self.server.fall_silent(Silence.ANSWERS)
            await self.assert_waits(fut)
            self.server.fall_silent(Silence.NONE)
            await fut
            self.assertEqual(b''.join(self.pieces).decode(), whole(call_id))
        self.assertFalse(any(one.held_until for one in self.servers.arrivals))

    async def test_before_the_end(self) -> None:
        """Each piece and the end are held."""
        done: list[str] = []

        async def wait_until_heard() -> None:
            done.append('wait')

        answer = HeldAnswer(RecordingAnswer(done), wait_until_heard)
        answer.begin()
        await answer.send('a')
        await answer.end()
        self.assertEqual(done, ['begin', 'wait', 'a', 'wait', 'end'])

    async def test_refusals_are_held(self) -> None:
        """A silent server refuses no call before it goes on."""
        self.server.fall_silent(Silence.ANSWERS)
        fut = self.call(server='i-2')
        await self.assert_waits(fut)
        self.server.fall_silent(Silence.NONE)
        with self.assertRaises(HTTPError) as caught:
            await fut
        self.assertEqual(caught.exception.code, 421)

    async def test_reports(self) -> None:
        """Reports are held by some silences, and not by others."""
        self.server.fall_silent(Silence.ANSWERS)
        await self.report()
        self.server.fall_silent(Silence.REPORTS)
        fut = self.report()
        await self.assert_waits(fut)
        self.server.fall_silent(Silence.NONE)
        await fut

    async def test_client_that_leaves(self) -> None:
        """A silent server notices that its client has disconnected."""
        self.server.fall_silent(Silence.ANSWERS)
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        head = ''.join(f'{name}: {text}\r\n' for name, text in HEADERS.items())
        writer.write(
            f'POST /chat/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n'
            f'{head}\r\n'.encode()
        )
        while not self.servers.runs:
            await asyncio.sleep(0)
        writer.close()
        run = self.servers.runs[0]
        while not run.ended_at:
            await asyncio.sleep(0)
        self.assertFalse(run.finished)
        self.assertFalse(run.crashed)

    async def test_dark(self) -> None:
        """A dark server takes calls and reports, and stays dark until ended."""
        self.server.fall_silent(Silence.EVERYTHING)
        fut = self.call()
        asked = self.report()
        self.server.fall_silent(Silence.NONE)
        await self.assert_waits(fut)
        self.assertFalse(asked.done())
        self.assertEqual(self.servers.runs, [])
        self.server.crash()
        for one in (fut, asked):
            with self.assertRaises(HTTPError):
                await one
        self.server.restart(keep_staged=True)
        self.assertEqual((await self.report()).code, 200)
        self.assertEqual(self.servers.runs, [])


if __name__ == '__main__':
    unittest.main()
