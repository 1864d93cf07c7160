"""Requests with rare methods, bytes and numbers: each gets an answer."""

import asyncio
import dataclasses
from random import Random

from linnetwood.calls.routetable import Organisation
from tests.direct_calls import GOOD
from tests.test_callserver import ROUTE_TABLE, CallServerCase, request
from tests.test_curldriver import HOST, respond_with

# Far longer than any answer here takes.
GUARD_S = 30
SEED = 20240
REQUESTS = 200
NUMBERED = ('X-Deadline-Ms', 'X-Token-Counts', 'X-Weight-Versions')
NAMES = (
    *NUMBERED,
    'X-Name',
    'X-Attempt-Id',
    'X-Prompt-Prefix',
    'Last-Event-Id',
    'Accept',
    'Connection',
)
ODD_BYTES = b'09:,;= \t-.az"%\x80\xb2\xc3\xa9\xff'
ODD_PATHS = (b'x', b'\xc3\xa9', b'%e9', b'\xff?q=\xb2', b'?', b'..//')


def with_header(sent: bytes, name: str, text: bytes) -> bytes:
    """Return a request with another header."""
    field = b'\r\n' + name.encode() + b': ' + text + b'\r\n'
    return sent.replace(b'\r\n', field, 1)


def odd_request(rng: Random) -> bytes:
    """Return a whole request with odd values."""
    sent = request('/a/x').replace(b'/a/x', b'/a/' + rng.choice(ODD_PATHS))
    for name in rng.sample(NAMES, 3):
        size = rng.choice((0, 1, 3, 20))
        text = bytes(rng.choices(ODD_BYTES, k=size))
        if name in NUMBERED and rng.choice((True, False)):
            text = b'9' * rng.choice((1, 20, 400, 5000))
        sent = with_header(sent, name, text.strip())
    return sent


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

    async def test_configured_names_outside_ascii(self) -> None:
        """Guard against calls lost for the name or key of an organisation."""
        endpoint = await self.serve(respond_with(GOOD))
        for name in ('t-1', 'Åkeri', '献血', 'é献'):
            key = f'schlüssel-{name}'
            self.route_table = dataclasses.replace(
                ROUTE_TABLE, organisations={key: Organisation(name, 1)}
            )
            sent = request('/a/x').replace(b'k1', key.encode())
            with self.subTest(name=name):
                self.assertEqual(await self.answered(sent), (200, b'fine'))
                expected = b'\r\nX-Tenant: %b\r\n' % name.encode()
                self.assertIn(expected, endpoint.requests[-1])

    async def test_numbers_of_any_length(self) -> None:
        """Guard against numbers that can't be converted."""
        await self.serve(respond_with(GOOD))
        for name in NUMBERED:
            for digits in (16, 400, 5000):
                with self.subTest(name=name, digits=digits):
                    text = b'9' * digits
                    sent = with_header(request('/a/x'), name, text)
                    sent = sent.replace(b'X-Deadline-Ms: 15000\r\n', b'')
                    got = await self.answered(sent)
                    self.assertEqual(got, (200, b'fine'))

    async def test_seeded_requests(self) -> None:
        """Guard against further values that end a call without an answer."""
        await self.serve(respond_with(GOOD))
        rng = Random(SEED)
        for number in range(REQUESTS):
            sent = odd_request(rng)
            _, body = await self.answered(sent)
            self.assertNotEqual(body, b'internal-error', (number, sent))
