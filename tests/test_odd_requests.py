"""Requests with rare methods, bytes and numbers: each gets an answer."""

import asyncio

from tests.test_callserver import CallServerCase, request
from tests.test_curldriver import HOST, respond_with
from tests.test_direct import GOOD

# Far longer than any answer here takes.
GUARD_S = 30


def with_header(sent: bytes, name: str, text: bytes) -> bytes:
    """Return a request with another header."""
    field = b'\r\n' + name.encode() + b': ' + text + b'\r\n'
    return sent.replace(b'\r\n', field, 1)


class OddRequestsTest(CallServerCase):
    """Each request is whole, so that it must get an answer."""

    async def answered(self, sent: bytes) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        async with asyncio.timeout(GUARD_S):
            status, _, body = (await self.send(sent))[0]
        return status, body

    async def test_refused_head_gets_its_refusal(self) -> None:
        """Guard against a connection that closes in place of a refusal."""
        await self.serve(respond_with(GOOD))
        for path, status in (('/b/x', b'404'), ('/a/x', b'200')):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            sent = request(path).replace(b'POST', b'HEAD')
            writer.write(with_header(sent, 'Connection', b'close'))
            async with asyncio.timeout(GUARD_S):
                got = await reader.read()
            writer.close()
            self.assertTrue(got.startswith(b'HTTP/1.1 ' + status), got)
            self.assertTrue(got.endswith(b'\r\n\r\n'), got)

    async def test_bytes_outside_ascii_are_sent_on(self) -> None:
        """Guard against calls that can't be sent for the bytes they hold."""
        endpoint = await self.serve(respond_with(GOOD))
        sent = request('/a/x').replace(b'/a/x', b'/a/\xc3\xa9?q=\xb2')
        sent = with_header(sent, 'X-Name', b'\xc5\x82 \xe9')
        self.assertEqual(await self.answered(sent), (200, b'fine'))
        arrived = endpoint.requests[0]
        self.assertIn(b'POST /a/\xc3\xa9?q=\xb2 HTTP/1.1\r\n', arrived)
        self.assertIn(b'\r\nX-Name: \xc5\x82 \xe9\r\n', arrived)
