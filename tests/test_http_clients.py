"""A cancelled request of the HTTP clients causes no error log."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from tornado.httpclient import HTTPRequest

from linnetwood.core.errors import OrderError
from linnetwood.weights.orders import HttpOrderClient, LoadOrder
from linnetwood.wire.http import (
    MAX_ANSWER_BYTES,
    NO_ANSWER,
    fetch,
    open_client,
    open_simple_client,
)
from tests.test_curldriver import (
    HOST,
    ScriptedServer,
    Server,
    reset,
    respond_with,
)
from tests.test_following import answer

CLIENTS = 2
TOO_LARGE = 2 * MAX_ANSWER_BYTES
# Long enough for a client to see that its connection ended.
SEEN_S = 0.2
Opener = Callable[[int], Any]


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """Cancel a request while the server holds it."""

    async def given_up(self, opener: Opener, *, cut: bool) -> list[str]:
        """Return the errors that the loop and the library report."""
        complaints: list[str] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: complaints.append(str(context['message'])),
        )
        asked = asyncio.Event()
        given = asyncio.Event()

        async def hold(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            asked.set()
            await given.wait()
            if cut:
                await reset(reader, writer)

        server = Server(hold)
        client = opener(CLIENTS)
        req = HTTPRequest(f'http://{HOST}:{await server.start()}/')
        asking = asyncio.create_task(fetch(client, req))
        await asked.wait()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        self.assertTrue(asking.cancelled())
        given.set()
        await asyncio.sleep(SEEN_S)
        client.close()
        await server.close()
        return complaints

    async def assert_silent(self, opener: Opener) -> None:
        """Check that the end of the connection is not reported as an error."""
        for cut in (False, True):
            with self.assertNoLogs('tornado.application'):
                found = await self.given_up(opener, cut=cut)
            self.assertEqual(found, [], cut)

    async def test_of_the_small_client(self) -> None:
        """The end of the cancelled request is not reported."""
        await self.assert_silent(open_simple_client)

    async def test_of_the_curl_client(self) -> None:
        """The end of the cancelled request is not reported."""
        await self.assert_silent(open_client)


class SizeTest(unittest.IsolatedAsyncioTestCase):
    """Answers that are held as a whole."""

    async def test_answers_of_any_size(self) -> None:
        """Guards against an answer that fills the memory, or is parsed."""
        for opener in (open_simple_client, open_client):
            for size, code in ((MAX_ANSWER_BYTES, 200), (TOO_LARGE, NO_ANSWER)):
                with self.subTest(opener=opener.__name__, size=size):
                    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                    server = Server(respond_with(head % size + bytes(size)))
                    client = opener(CLIENTS)
                    port = await server.start()
                    req = HTTPRequest(f'http://{HOST}:{port}/')
                    reply = await fetch(client, req)
                    client.close()
                    await server.close()
                    self.assertEqual(reply.code, code)


class ConditionTest(unittest.IsolatedAsyncioTestCase):
    """Orders that may be sent only on a condition."""

    async def test_an_order_that_may_no_longer_be_sent(self) -> None:
        """Guards against an order sent on a condition that holds no more.

        Nor does the condition hold for the next request on the same handle.
        """
        server = ScriptedServer()
        port = await server.start()
        client = open_client(1)
        orders = HttpOrderClient(f'http://{HOST}:{port}', client)
        order = LoadOrder(1, 'm@v1', 'aa', 'bb')
        with self.assertRaises(OrderError):
            await orders.load(order, bool)
        self.assertEqual(server.requests, [])
        status = {'fence': 1, 'serving': 'm@v1', 'manifest': 'aa'}
        server.answers = [answer(200, status), answer(200, status)]
        self.assertEqual((await orders.status()).fence, 1)
        await orders.load(order, lambda: True)
        self.assertEqual(len(server.requests), 2)
        client.close()
        await server.close()


if __name__ == '__main__':
    unittest.main()
