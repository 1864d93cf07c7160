"""Calls over a link that delays bytes: none begins after the version's bound.

The link completes handshakes at once and keeps the order of bytes, so the close
of a connection arrives behind the request that it was to withdraw.
"""

import asyncio
import contextlib
import dataclasses
import unittest
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.reports import Reports
from linnetwood.calls.routetable import Repeat, Route, Service, Share
from linnetwood.core.clock import SystemClock
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Ending, Outcome
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.wanted import (
    SEND_MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.gen.wire.ttypes import EngineNews, News
from linnetwood.lab import virtual
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Receiver, Request
from tests.direct_calls import RecordingSink, events, stream
from tests.loops import close_server
from tests.test_curldriver import HOST, Server, respond_with

MODEL = 'm'
BOUND_S = 8
# The link delay that the margins of entries cover.
USUAL_LINK_DELAY_S = 0.3
READ_BYTES = 65536
# Offset from the last time at which a call is sent.
MOMENT_S = 0.001
ENGINE = EngineProfile(
    slots=16,
    step_s=0.01,
    step_s_per_call=0.00002,
    step_s_per_k_context=0.00003,
    prefill_tokens_per_s=20000,
    attention_s_per_m_pairs=0.001,
    steps_per_pass=5,
    typical_prompt_tokens=800,
    typical_answer_tokens=80,
    kv_tokens=300000,
    models=(MODEL,),
)
SERVICE = Service('pool', 100, ENGINE)
ROUTE = Route(
    'r',
    'h',
    '/',
    Repeat.RESUME,
    streams=True,
    timeout_s=6,
    target_s=0.4,
    gap_s=0.4,
    attempts=2,
    priority=1,
    public=True,
    shares=(Share('pool', 1),),
)


def call_at(now: float) -> DirectCall:
    """Return a call that arrives at a time."""
    return DirectCall(
        CallHead(call_id='c-2', model=MODEL, prompt=100),
        ROUTE,
        SERVICE,
        None,
        'POST',
        '/x',
        [('Host', 'h'), ('X-Attempt-Id', 'c-2')],
        b'body',
        now,
        now + ROUTE.timeout_s,
    )


class SlowLink:
    """Forward connections to a port; hold back their bytes while closed."""

    def __init__(self, port: int) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self._port = port

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        await close_server(self._server)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def drained(self) -> None:
        """Wait until all bytes are forwarded and both ends have closed."""
        await asyncio.gather(*self.tasks)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        there, out = await asyncio.open_connection(HOST, self._port)
        for pump in (self._forward(reader, out), self._backward(there, writer)):
            task = asyncio.create_task(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        out: asyncio.StreamWriter,
    ) -> None:
        buffered: asyncio.Queue[bytes | None] = asyncio.Queue()
        reading = asyncio.create_task(self._read(reader, buffered))
        while True:
            piece = await buffered.get()
            await self.open.wait()
            if piece is None:
                break
            out.write(piece)
        out.close()
        await reading

    async def _read(
        self,
        reader: asyncio.StreamReader,
        buffered: asyncio.Queue[bytes | None],
    ) -> None:
        with contextlib.suppress(ConnectionResetError):
            while piece := await reader.read(READ_BYTES):
                buffered.put_nowait(piece)
        buffered.put_nowait(None)

    async def _backward(
        self,
        there: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionResetError):
            while piece := await there.read(READ_BYTES):
                writer.write(piece)
        writer.close()


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Call an engine with the old version shortly before its bound."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        answer = stream(events(0)).replace(b'c-1', b'c-2')
        self.engine = Server(respond_with(answer))
        self.link = SlowLink(await self.engine.start())
        self.wanted = WantedVersions(BOUND_S)
        self.port = await self.link.start()
        directory = Directory()
        directory.update(
            Endpoint(
                'i-1',
                'pool',
                HOST,
                self.port,
                'z1',
                16,
                ready=True,
                versions={MODEL: 1},
            ),
        )
        self.driver = CurlDriver()
        chooser = Chooser(directory, Random(1))
        self.chooser = chooser
        self.reports = Reports(
            directory,
            chooser,
            self.wanted,
            SystemClock(),
            0,
            lambda: None,
            'z1',
            RelaySelector(HOST, Random(1)),
        )
        self.dispatcher = self.dispatch()

    async def asyncTearDown(self) -> None:
        self.driver.close()
        await self.link.close()
        await self.engine.close()

    def dispatch(self) -> DirectDispatcher:
        """Return a dispatcher with the wanted versions."""
        return DirectDispatcher(
            self.chooser,
            self.driver,
            PlatformDialect(),
            self.wanted,
            'z1',
            NoMetrics(),
        )

    async def call(self) -> Ending:
        """Run one call."""
        return await self.dispatcher.run(
            call_at(self.loop.time()), RecordingSink()
        )

    def name_version(self, left_s: float) -> float:
        """Name a newer version whose bound is in `left_s`; return the bound."""
        bound = self.loop.time() + left_s
        self.wanted.add_named(MODEL, 2, bound - BOUND_S)
        return bound

    def report_delay(self, link_delay_s: float) -> None:
        """Report the link delay, as the process beside the engine does."""
        news = EngineNews(
            number=1,
            serving=1,
            way_ms=int(link_delay_s * 1000),
        )
        self.reports.handle_news(News(engine=news), (HOST, 0))

    async def wait_until(self, moment: float) -> None:
        """Wait until a time of the loop's clock."""
        gone = asyncio.Event()
        self.loop.call_at(moment, gone.set)
        await gone.wait()

    async def test_fast_link(self) -> None:
        """A call begins on the old version while there is time for it."""
        self.name_version(2 * SEND_MARGIN_S)
        ending = await self.call()
        self.assertEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(len(self.engine.requests), 1)

    async def test_slow_link_begins_no_call_after_the_bound(self) -> None:
        """Bytes that a slow link delivers after the bound must not be a call.

        The link was slow for an earlier call, and the process beside the
        engine, which is behind the same link, has reported the delay.
        """
        self.link.open.clear()
        earlier = asyncio.create_task(self.call())
        await asyncio.sleep(SEND_MARGIN_S)
        self.link.open.set()
        await earlier
        self.assertEqual(len(self.engine.requests), 1)
        self.report_delay(link_delay_s=SEND_MARGIN_S)
        self.link.open.clear()
        bound = self.name_version(SEND_MARGIN_S + 0.2)
        ending = await self.call()
        await self.wait_until(bound)
        self.link.open.set()
        await self.link.drained()
        self.assertNotEqual(ending.outcome, Outcome.ANSWERED)
        self.assertEqual(len(self.engine.requests), 1)

    async def test_calls_are_withdrawn_earlier_over_a_slow_link(self) -> None:
        """The close that withdraws a call must arrive before the bound too."""
        link_delay_s = 0.7
        self.report_delay(link_delay_s)
        self.link.open.clear()
        bound = self.name_version(2 * SEND_MARGIN_S)
        await self.call()
        left_s = bound - self.loop.time()
        self.link.open.set()
        await self.link.drained()
        self.assertGreater(left_s, START_MARGIN_S + link_delay_s / 2)


class CountingDriver(CurlDriver):
    """A driver that counts requests and sends none."""

    def __init__(self) -> None:
        self.count = 0

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Count the request and report that it could not connect."""
        self.count += 1
        receiver.done(Finish(whole=False, connected=False))
        return Transfer(receiver)

    def cancel(self, transfer: Transfer) -> None:
        """Do nothing."""


class LastMomentTest(unittest.TestCase):
    """When a call may last be sent before a bound, in virtual time."""

    def test_calls_sent_have_time_to_begin(self) -> None:
        """Over any link a call has 0.4 s there before it is withdrawn."""
        for link_delay_s in (0, 0.5, 1, 1.5):
            extra_delay_s = max(0, link_delay_s - USUAL_LINK_DELAY_S)
            # One call has just too little time, the other just enough.
            late_s = SEND_MARGIN_S + 2 * extra_delay_s
            for left_s, sent in (
                (late_s - MOMENT_S, False),
                (late_s + MOMENT_S, True),
            ):
                with self.subTest(link_delay_s=link_delay_s, left_s=left_s):
                    self.assertIs(
                        virtual.run(is_sent(link_delay_s, left_s)), sent
                    )


async def is_sent(link_delay_s: float, left_s: float) -> bool:
    """Return whether a call is sent `left_s` before its version's bound."""
    loop = asyncio.get_running_loop()
    # A bound must not lie before the start of the clock.
    await asyncio.sleep(2 * BOUND_S)
    directory = Directory()
    endpoint = Endpoint('i-1', 'pool', HOST, 1, 'z1', 16, ready=True)
    directory.update(dataclasses.replace(endpoint, versions={MODEL: 1}))
    chooser = Chooser(directory, Random(1))
    chooser.stats_of('i-1').record_report(
        Report(
            0,
            0,
            1,
            changing=False,
            received_at=loop.time(),
            link_delay_s=link_delay_s,
        ),
    )
    wanted = WantedVersions(BOUND_S)
    wanted.add_named(MODEL, 2, loop.time() + left_s - BOUND_S)
    driver = CountingDriver()
    dispatcher = DirectDispatcher(
        chooser,
        driver,
        PlatformDialect(),
        wanted,
        'z1',
        NoMetrics(),
    )
    await dispatcher.run(call_at(loop.time()), RecordingSink())
    return bool(driver.count)


class ResumedTest(unittest.TestCase):
    """Resume a stream on its own version."""

    def test_stream_is_not_resumed_on_a_closed_version(self) -> None:
        """Nothing is sent on a version in the last 1.2 s of its bound."""
        directory = Directory()
        directory.update(
            Endpoint(
                'i-1',
                'pool',
                'h',
                1,
                'z1',
                16,
                ready=True,
                versions={MODEL: 1},
            ),
        )
        requirements = Requirements(
            SERVICE,
            'z1',
            100,
            MODEL,
            min_version=2,
            exact_version=1,
        )
        self.assertIsNone(
            Chooser(directory, Random(1)).choose(requirements, (), 0)
        )


class LinkDelayTest(unittest.TestCase):
    """The estimated delay of a link."""

    def test_link_delay_has_an_upper_limit(self) -> None:
        """The estimate assumes that calls take at most 2 s to arrive."""
        stats = EndpointStats()
        for link_delay_s, extra_delay_s in (
            (0.3, 0),
            (1, 0.7),
            (2, 1.7),
            (9, 1.7),
        ):
            stats.record_report(Report(0, 0, 1, False, 0, link_delay_s))
            with self.subTest(link_delay_s=link_delay_s):
                self.assertAlmostEqual(
                    stats.extra_link_delay_s(0.1), extra_delay_s
                )


if __name__ == '__main__':
    unittest.main()
