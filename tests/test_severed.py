"""Streams whose connections all go silent at once, without a reset."""

import asyncio
import unittest
from random import Random

from linnetwood.calls.choice import Chooser
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.direct import DirectDispatcher, RetryLimits
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.routetable import Route, Service
from linnetwood.calls.silencetimeouts import SilenceTimeouts
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Outcome
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.lab import virtual
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Receiver, Request
from tests.direct_calls import RecordingSink, events
from tests.test_narrow_way import ROUTE

STREAMS = 20
EVENTS = 10
EVENT_INTERVAL_S = 0.1
SEVERED_AT = 0.55
PORTS = (1, 2)
POOL = Service('pool', 100)


class SeveredDriver(CurlDriver):
    """Carry streams until all that are open go silent at the same time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.severed_at = self.loop.time() + SEVERED_AT
        self.begun: list[tuple[float, int, int]] = []
        self.cancelled = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Send a stream from behind the last event that the caller has."""
        after = int(dict(req.headers).get('Last-Event-Id', '0'))
        self.begun.append((self.loop.time(), req.port, after))
        task = asyncio.create_task(self.send(receiver, after))
        self.tasks.add(task)
        return Transfer(receiver)

    def cancel(self, transfer: Transfer) -> None:
        """Count cancelled transfers."""
        self.cancelled += 1

    async def send(self, receiver: Receiver, after: int) -> None:
        """Send events at intervals; fall silent once the stream is severed."""
        began = self.loop.time()
        receiver.head(
            200,
            [('X-Attempt-Id', 'c-1'), ('X-Server-Signature', 's-1')],
        )
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if began < self.severed_at <= self.loop.time():
                return
            receiver.body(events(number))
        receiver.done(Finish(whole=True, connected=True))


def stream_call(now: float, route: Route = ROUTE) -> DirectCall:
    """Return the call of a stream that arrives now."""
    return DirectCall(
        CallHead(call_id='c-1'),
        route,
        POOL,
        None,
        'POST',
        '/x',
        [('X-Attempt-Id', 'c-1')],
        b'',
        now,
        now + route.timeout_s,
    )


async def run_severed() -> tuple[
    SeveredDriver, list[RecordingSink], list[Outcome]
]:
    """Run streams at two endpoints and sever all of them midway."""
    loop = asyncio.get_running_loop()
    directory = Directory()
    for port in PORTS:
        name = f'i-{port}'
        directory.update(Endpoint(name, 'pool', 'h', port, 'z', 16, ready=True))
    driver = SeveredDriver()
    dispatcher = DirectDispatcher(
        Chooser(directory, Random(1)),
        driver,
        PlatformDialect(),
        WantedVersions(8),
        'z',
        NoMetrics(),
    )
    dispatcher.retry_limits = RetryLimits(reserve=4 * STREAMS)
    now = loop.time()
    call = stream_call(now)
    sinks = [RecordingSink() for _ in range(STREAMS)]
    running = [dispatcher.run(call, sink) for sink in sinks]
    endings = await asyncio.gather(*running)
    return driver, sinks, [ending.outcome for ending in endings]


class SeveredTest(unittest.TestCase):
    """Run in virtual time."""

    def test_every_stream_is_resumed_elsewhere(self) -> None:
        """Guard against lost, repeated or mixed events of hanging streams."""
        driver, sinks, outcomes = virtual.run(run_severed())
        whole = events(*range(1, EVENTS + 1))
        self.assertEqual(set(outcomes), {Outcome.ANSWERED})
        self.assertEqual({sink.received for sink in sinks}, {whole})
        self.assertEqual(len(driver.begun), 2 * STREAMS)

    def test_streams_are_resumed_within_the_silence_timeout(self) -> None:
        """Guard against callers that give up before the second attempt."""
        driver, _, _ = virtual.run(run_severed())
        again = driver.begun[STREAMS:]
        silence_s = max(at for at, _, _ in again) - driver.severed_at
        self.assertLessEqual(
            silence_s, SilenceTimeouts.for_route(ROUTE).next_event_s
        )
        self.assertEqual({after for _, _, after in again}, {5})
        self.assertEqual(driver.cancelled, 2 * STREAMS)


if __name__ == '__main__':
    unittest.main()
