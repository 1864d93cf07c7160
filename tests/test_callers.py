"""Callers over real sockets: answers, refusals, keys, drains, outages."""

import asyncio
import json
import unittest

from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPServerRequest

from linnetwood.calls.callers import service_path
from linnetwood.core.errors import OrderError, StoreError, WeightsError
from linnetwood.core.options import Backend
from linnetwood.core.sizes import MIB
from linnetwood.fleet.store import HttpKeyValue
from linnetwood.fleet.vmlist import HttpVmList
from linnetwood.lab.fakeengine import token
from linnetwood.lab.launcher import Ports
from linnetwood.weights.orders import HttpOrderClient
from linnetwood.weights.origin import HttpWeightStore
from linnetwood.wire.http import open_client
from tests.rig import HOST, Rig, running
from tests.test_curldriver import Server, respond_with

GENERATE = '/v1/completions'
OUTCOME = 'X-Linnetwood-Outcome'
CODE = 'X-Linnetwood-Code'
KEY = 'X-Linnetwood-Key'
LARGE = 24 * MIB


def body(prompt: str = 'p', tokens: int = 3) -> dict[str, object]:
    """Return a valid request."""
    return {'model': 'sevak', 'prompt': prompt, 'max_tokens': tokens}


def expected(prompt: str, tokens: int) -> str:
    """Return the only correct answer of the stand-in engine."""
    words = [token('sevak@v1', prompt, index) for index in range(tokens)]
    return ''.join(f'data: {word}\n\n' for word in (*words, '[DONE]'))


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Answers and refusals as callers see them."""

    @running
    async def test_answers_and_refusals(self, rig: Rig) -> None:
        """Valid calls are answered, invalid ones are refused with a code."""
        await rig.entry()
        await rig.engine()
        await rig.booking()
        await rig.apply(1)
        reply = await rig.http(GENERATE, body('hello', 5))
        self.assertEqual(reply.body.decode(), expected('hello', 5))
        cases = (
            (GENERATE, '[]', 400, 'bad-request'),
            (GENERATE, '{', 400, 'bad-request'),
            (GENERATE, '[' * 100000, 400, 'bad-request'),
            (GENERATE, {'model': 'sevak'}, 400, 'bad-request'),
            (GENERATE, body(tokens=0), 400, 'bad-request'),
            (GENERATE, {**body(), 'model': 'x'}, 404, 'unknown-target'),
            ('/services/none/x', '', 404, 'unknown-target'),
            ('/v1/keys?service=booking&count=0', '', 400, 'bad-request'),
            (f'/v1/keys?count={"9" * 5000}', '', 400, 'bad-request'),
            ('/v1/keys?service=none', '', 503, 'no-endpoint'),
        )
        for path, sent, status, code in cases:
            with self.subTest(path=path, sent=sent):
                reply = await rig.http(path, sent)
                found = (reply.code, reply.headers[CODE])
                self.assertEqual(found, (status, code))
                self.assertEqual(reply.headers[OUTCOME], 'not-run')
        bad_key = await rig.http(
            '/services/booking/x', '', headers={KEY: 'nokey'}
        )
        self.assertEqual(bad_key.headers[CODE], 'key-malformed')

    @running
    async def test_numbers_of_any_length(self, rig: Rig) -> None:
        """Guard against an error by a number that a caller sends."""
        await rig.entry()
        await rig.booking()
        await rig.until(lambda: len(rig.entries[0].runtime.gossip.members) == 2)
        for name in ('X-Deadline-Ms', 'X-Priority'):
            for digits in (400, 5000):
                with self.subTest(name=name, digits=digits):
                    reply = await rig.http(
                        '/services/booking/x', headers={name: '9' * digits}
                    )
                    self.assertEqual(reply.code, 200)

    @running
    async def test_service_answer_byte_for_byte(self, rig: Rig) -> None:
        """An answer through the system equals the service's own answer."""
        await rig.entry()
        await rig.booking()
        await rig.until(lambda: len(rig.entries[0].runtime.gossip.members) == 2)
        direct = await rig.client.fetch(
            f'http://127.0.0.1:{rig.service_port}/qso/7?call=SM0ABC',
        )
        through = await rig.http('/services/booking/qso/7?call=SM0ABC')
        self.assertEqual(through.body, direct.body)
        self.assertEqual(through.code, direct.code)
        same = sorted(
            line for line in through.headers.get_all() if line[0] != 'Date'
        )
        before = sorted(
            line for line in direct.headers.get_all() if line[0] != 'Date'
        )
        self.assertEqual(same, before)

    @running
    async def test_key_runs_once_through_any_entry(self, rig: Rig) -> None:
        """A repeated key gives the same answer without a second run."""
        await rig.entry()
        await rig.entry()
        await rig.booking()
        await rig.until(lambda: len(rig.entries[1].runtime.gossip.members) == 3)
        minted = await rig.http('/v1/keys?service=booking', '')
        key = json.loads(minted.body)['keys'][0]
        replies = [
            await rig.http(
                '/services/booking/confirm', 'slot', number, headers={KEY: key}
            )
            for number in (0, 1, 0)
        ]
        self.assertEqual([reply.code for reply in replies], [200, 200, 200])
        self.assertEqual(len({reply.body for reply in replies}), 1)
        self.assertEqual(rig.service.runs, {'slot': 1})

    @running
    async def test_key_of_a_restarted_endpoint(self, rig: Rig) -> None:
        """After a restart of its endpoint a key is unknown and never runs."""
        await rig.entry()
        first = await rig.booking()
        await rig.until(lambda: len(rig.entries[0].runtime.gossip.members) == 2)
        minted = await rig.http('/v1/keys?service=booking', '')
        key = json.loads(minted.body)['keys'][0]
        rig.endpoints.remove(first)
        await first.close()
        await rig.booking()
        await rig.until(lambda: len(rig.entries[0].runtime.gossip.members) == 3)
        reply = await rig.http(
            '/services/booking/confirm', 'slot', headers={KEY: key}
        )
        found = (reply.headers[OUTCOME], reply.headers[CODE])
        self.assertEqual(found, ('unknown', 'key-owner-gone'))
        self.assertEqual(rig.service.runs, {})

    @running
    async def test_stream_finishes_during_a_drain(self, rig: Rig) -> None:
        """Calls in flight finish; new calls are refused without a run."""
        await rig.entry()
        endpoint = await rig.engine(token_s=0.05)
        await rig.apply(1)
        stream = asyncio.create_task(rig.http(GENERATE, body('long', 20)))
        await rig.until(lambda: endpoint.guard.state.in_flight == 1)
        vm = endpoint.runtime.gossip.own_record.vm
        await rig.operate(lambda calls: calls.drain(vm, 'asha'))
        refused = await rig.http(GENERATE, body('late'))
        self.assertEqual(refused.headers[OUTCOME], 'not-run')
        self.assertIn('Retry-After', refused.headers)
        self.assertEqual((await stream).body.decode(), expected('long', 20))
        self.assertEqual(len(rig.engines[0].runs), 1)

    @running
    async def test_planned_stop_of_an_entry(self, rig: Rig) -> None:
        """Streams of a stopping entry finish."""
        await rig.entry()
        endpoint = await rig.engine(token_s=0.05)
        await rig.apply(1)
        stream = asyncio.create_task(rig.http(GENERATE, body('long', 20)))
        await rig.until(lambda: endpoint.guard.state.in_flight == 1)
        stop = asyncio.create_task(rig.entries.pop().close())
        await asyncio.sleep(0)
        self.assertEqual((await stream).body.decode(), expected('long', 20))
        await stop

    @running
    async def test_caller_disconnects(self, rig: Rig) -> None:
        """The engine gets a cancellation when the caller disconnects."""
        await rig.entry()
        endpoint = await rig.engine(token_s=0.05)
        await rig.apply(1)
        port = rig.url('').rpartition(':')[2]
        _, writer = await asyncio.open_connection('127.0.0.1', int(port))
        text = json.dumps(body('gone', 1000))
        writer.write(
            f'POST {GENERATE} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'.encode(),
        )
        await rig.until(lambda: endpoint.guard.state.in_flight == 1)
        writer.close()
        await rig.until(lambda: endpoint.guard.state.in_flight == 0)
        self.assertEqual(len(rig.engines[0].cancelled), 1)

    @running
    async def test_trace_context_reaches_the_engine(self, rig: Rig) -> None:
        """Without a trace recorder the caller's own context is forwarded."""
        await rig.entry()
        await rig.engine()
        await rig.apply(1)
        parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
        await rig.http(GENERATE, body(), headers={'traceparent': parent})
        self.assertEqual(rig.engines[0].traceparents, [parent])


class LargeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A plain service whose answers are larger than all buffers."""

    @running
    async def test_large_answer_is_whole(self, rig: Rig) -> None:
        """Guard against an answer that is cut since it is read slowly."""
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n'
        service = Server(respond_with(head.encode() + bytes(LARGE)))
        url = f'http://{HOST}:{await service.start()}'
        entry = await rig.entry()
        entry.context.stall_s = 60
        await rig.endpoint(Backend('service', url, 'booking', 8))
        await rig.until(lambda: len(entry.runtime.gossip.members) == 2)
        for pause_s in (0, 1):
            with self.subTest(pause_s=pause_s):
                port = rig.url('').rpartition(':')[2]
                reader, writer = await asyncio.open_connection(HOST, int(port))
                writer.write(
                    b'GET /services/booking/x HTTP/1.1\r\nHost: h\r\n\r\n'
                )
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                self.assertIn(f'Content-Length: {LARGE}', head)
                await asyncio.sleep(pause_s)
                self.assertEqual(len(await reader.readexactly(LARGE)), LARGE)
                writer.close()
        await service.close()


class PathTest(unittest.TestCase):
    """Paths of calls to services."""

    def test_path_at_the_service(self) -> None:
        """Guard against a path that is cut for an encoded name."""
        cases = (
            ('/services/booking', '/'),
            ('/services/booking?a=/b', '/?a=/b'),
            ('/services/booking/x/y?a=b', '/x/y?a=b'),
            ('/services/booking//x', '//x'),
            ('/services/boo%6bing/confirm', '/confirm'),
        )
        for uri, expected in cases:
            with self.subTest(uri=uri):
                req = HTTPServerRequest(method='GET', uri=uri)
                self.assertEqual(service_path(req), expected)


class BackendTest(unittest.IsolatedAsyncioTestCase):
    """Errors of back ends and adapters."""

    @running
    async def test_refused_connection_is_not_run(self, rig: Rig) -> None:
        """A connection that was never made proves that nothing ran."""
        await rig.entry()
        port = rig.ports.take(1)[0]
        await rig.endpoint(
            Backend('service', f'http://127.0.0.1:{port}', 'booking', 8),
        )
        await rig.until(lambda: len(rig.entries[0].runtime.gossip.members) == 2)
        reply = await rig.http('/services/booking/confirm', 'slot')
        found = (reply.headers[OUTCOME], reply.headers[CODE])
        self.assertEqual(found, ('not-run', 'backend-unreachable'))

    async def test_adapters_raise_their_own_errors(self) -> None:
        """No error of the HTTP library leaves an adapter."""
        client = open_client(4)
        url = f'http://127.0.0.1:{Ports().take(1)[0]}'
        cases = (
            (HttpOrderClient(url, client).status(), OrderError),
            (HttpWeightStore(url, 1, client).read('aa', 0), WeightsError),
            (HttpVmList(url, client).leaving(), StoreError),
            (HttpKeyValue(url, 1, client).get('k'), StoreError),
            (HttpKeyValue(url, 1, client).swap('k', b'', 0), StoreError),
        )
        for call, error in cases:
            with self.subTest(error=error), self.assertRaises(error):
                await call
        client.close()


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """The key-value service is unreachable."""

    @running
    async def test_serving_goes_on(self, rig: Rig) -> None:
        """Calls are answered, changes refused; new entries learn from peers."""
        await rig.entry()
        await rig.engine()
        await rig.apply(1)
        rig.kv.down = True
        answer = await rig.operate(
            lambda calls: calls.apply(rig.deployment(1), 1, 'op-2', 'asha'),
        )
        self.assertEqual(answer.code, 'store-unavailable')
        new_entry = await rig.entry()
        await rig.until(lambda: new_entry.runtime.config.current.revision == 1)
        await rig.until(lambda: rig.serving() == 1)
        self.assertEqual(new_entry.reason(), '')
        reply = await rig.http(GENERATE, body('hello', 5), number=1)
        self.assertEqual(reply.body.decode(), expected('hello', 5))

    @running
    async def test_lone_entry_in_an_outage_is_not_ready(self, rig: Rig) -> None:
        """An entry that reaches no other process is not ready."""
        rig.kv.down = True
        entry = await rig.entry()
        self.assertIn('no configuration', entry.reason())
        req = HTTPRequest(rig.url('/readyz'))
        reply = await rig.client.fetch(req, raise_error=False)
        self.assertEqual(reply.code, 503)


if __name__ == '__main__':
    unittest.main()
