"""Slow answers are awaited to their end; answers that stop are given up."""

import asyncio
import dataclasses
import socket
import unittest
from random import Random
from urllib.parse import parse_qs, urlsplit

from linnetwood.core.errors import WeightsError
from linnetwood.fleet import configuration
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Change, Changes, Snapshot
from linnetwood.gen.schema import ttypes as schema
from linnetwood.gen.wire.ttypes import ConfigReply
from linnetwood.platform.store import PlatformStore
from linnetwood.platform.weights import PlatformOrigin
from linnetwood.wire import frames
from linnetwood.wire.codec import encode
from linnetwood.wire.curldriver import CurlDriver
from tests.test_config_machine import new_config_task
from tests.test_configuration import FakeStore
from tests.test_curldriver import HOST, Server
from tests.test_following import RecordingSink, answer, row

# About the size of a configuration of 250 routes.
LARGE = 'x' * 200000
PIECE_EVERY_S = 0.1
# Ends a test that hangs.
GUARD_S = 60
Request = tuple[str, str]
Row = tuple[str, object, object]


@dataclasses.dataclass(frozen=True)
class Step:
    """One answer, how long it flows, and whether it then stops for good."""

    octets: bytes
    span_s: float = 0
    stops: bool = False


async def trickle(
    octets: bytes,
    span_s: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send pieces of one size at a steady rate until the caller closes."""
    size = -(-len(octets) // max(1, round(span_s / PIECE_EVERY_S))) or 1
    for start in range(0, len(octets), size):
        if reader.at_eof():
            return
        writer.write(octets[start : start + size])
        await writer.drain()
        await asyncio.sleep(PIECE_EVERY_S if span_s else 0)


class StoreStandIn(Server):
    """A store that records the requests it gets."""

    def received(self) -> list[Request]:
        """Return the call and the start revision of each request."""
        targets = [request.split(b' ')[1].decode() for request in self.requests]
        parts = [urlsplit(request) for request in targets]
        return [
            (
                request.path.rpartition('/')[2],
                parse_qs(request.query).get('after_revision', [''])[0],
            )
            for request in parts
        ]


class TricklingServer(StoreStandIn):
    """Return each answer at its own speed, and none to later requests."""

    def __init__(self, *steps: Step) -> None:
        super().__init__(self._next)
        self.done = asyncio.Event()
        self._steps = list(steps)

    async def _next(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        step = self._steps.pop(0) if self._steps else None
        if step is None:
            self.done.set()
            await reader.read()
            return
        await trickle(step.octets, step.span_s, reader, writer)
        if step.stops:
            await reader.read()


def page(key: str, revision: int, *, has_more: bool = False) -> bytes:
    """Return a page with one large item."""
    content = {
        'items': [row(key, LARGE, revision)],
        'has_more': has_more,
        'timestamp': revision,
    }
    return answer(200, content)


def change(revision: int) -> bytes:
    """Return an answer with one large change."""
    content = {'events': [row('k', LARGE, revision)], 'timestamp': revision}
    return answer(200, content)


async def followed(*steps: Step) -> list[Request]:
    """Follow a store that gives these answers; return the requests it got."""
    server = TricklingServer(*steps)
    driver = CurlDriver()
    store = PlatformStore((HOST, await server.start()), driver)
    follower = RangeFollower(store, '', RecordingSink(), Random(1))
    follower.start()
    async with asyncio.timeout(GUARD_S):
        await server.done.wait()
    await follower.close()
    driver.close()
    await server.close()
    return server.received()


async def slow_changes() -> Row:
    """Send an answer for longer than its wait and the slack on it."""
    expected = [('kv-range', ''), ('kv-watch', '1'), ('kv-watch', '2')]
    found = await followed(Step(page('k', 1)), Step(change(2), 3.5))
    return 'changes', expected, found


async def slow_page() -> Row:
    """Send a second page for longer than the timeout of a read."""
    expected = [('kv-range', ''), ('kv-range', 'a'), ('kv-watch', '1')]
    first = page('a', 1, has_more=True)
    found = await followed(Step(first), Step(page('b', 1), 3))
    return 'page', expected, found


async def slow_manifest() -> Row:
    """Send the digests of many chunks slowly."""
    digests = ['00' * 32] * 4000
    content = answer(200, {'digests': digests, 'chunk_bytes': 1})
    server = TricklingServer(Step(content, 2))
    driver = CurlDriver()
    origin = PlatformOrigin(driver)
    origin.address = (HOST, await server.start())
    found: object = ''
    try:
        found = len((await origin.manifest('m', 2)).digests)
    except WeightsError as exc:
        found = str(exc)
    driver.close()
    await server.close()
    return 'manifest', len(digests), found


async def slow_peer() -> Row:
    """Send a large configuration slowly to a peer that requests it."""
    large = schema.Change(2, 'a', 'b', 1, LARGE)
    packed = configuration.pack(
        schema.Configuration(2, schema.Deployment(), [large]),
    )
    reply = encode(ConfigReply(revision=2, encoded=packed))
    sent = frames.pack(frames.FrameKind.CONFIG_REPLY, reply)

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read(len(sent))
        await trickle(sent, 2.5, reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    task = new_config_task('a', FakeStore())
    await task._fetch(server.sockets[0].getsockname())
    server.close()
    return 'peer', 2, task.current.revision


FOLLOWERS = 13
NEWEST = 4
VALUE_BYTES = 48000
ANSWER_BYTES = VALUE_BYTES * 4 // 3
LINK_BYTES_PER_S = FOLLOWERS * ANSWER_BYTES / 1.3
LINK_PIECE = 8192
# All followers need the first configuration, and then the two after it.
NEEDED_BYTES = 3 * FOLLOWERS * ANSWER_BYTES
ALLOWED_BYTES = NEEDED_BYTES * 7 // 6


class SharedLink:
    """A link whose rate all answers share, one piece of each in turn."""

    def __init__(self) -> None:
        self.sent = 0
        self._free_at = float()

    async def send(self, size: int) -> None:
        """Wait for as long as a number of bytes takes on the link."""
        loop = asyncio.get_running_loop()
        begin = max(self._free_at, loop.time())
        self._free_at = begin + size / LINK_BYTES_PER_S
        await asyncio.sleep(self._free_at - loop.time())
        self.sent += size


class FarStore(StoreStandIn):
    """Serve one key, and write it 3 times while the link is busy."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.answering = 0
        self.link = SharedLink()
        self.storm = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision that was written last."""
        if not self.storm.is_set():
            return 1
        quarter = FOLLOWERS * ANSWER_BYTES // 4
        return min(NEWEST, 2 + self.link.sent // quarter)

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.answering += 1
        try:
            await self._say(reader, writer)
        finally:
            self.answering -= 1

    async def _say(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        call, after = self.received()[-1]
        if call == 'kv-range':
            items = [row('k', 'x', 1)]
            content = {'items': items, 'has_more': False, 'timestamp': 1}
            writer.write(answer(200, content))
            return
        await self.storm.wait()
        octets = self._since(int(after))
        for start in range(0, len(octets), LINK_PIECE):
            if reader.at_eof():
                return
            piece = octets[start : start + LINK_PIECE]
            await self.link.send(len(piece))
            writer.write(piece)
            await writer.drain()
        if not octets:
            await reader.read()

    def _since(self, after: int) -> bytes:
        """Return an answer with all later changes, or no bytes if none."""
        newest = self.revision
        text = 'x' * VALUE_BYTES
        events = [
            row('k', text, revision)
            for revision in range(after + 1, newest + 1)
        ]
        if not events:
            return b''
        return answer(200, {'events': events, 'timestamp': newest})


class ShortWaitStore:
    """A store whose waits end before the time that a follower requests."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self, prefix: str) -> Snapshot:
        """Read the range."""
        return await self._store.read(prefix)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for a tenth of the requested time."""
        return await self._store.wait(prefix, after, wait_s / 10)


class Newest:
    """A sink that keeps only the newest revision."""

    def __init__(self) -> None:
        self.revision = 0

    def replace_all(self, found: Snapshot) -> None:
        self.revision = max(
            record.revision for record in found.records.values()
        )

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.record is not None:
                self.revision = max(self.revision, change.record.revision)

    def mark_unreachable(self) -> None:
        """Keep what there is."""


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Follow a store, an origin and a peer over a slow link."""

    async def test_a_slow_answer_is_taken_at_the_first_try(self) -> None:
        """An answer that takes long is not requested again."""
        rows = await asyncio.gather(
            slow_changes(),
            slow_page(),
            slow_manifest(),
            slow_peer(),
        )
        self.maxDiff = None
        self.assertEqual(
            {name: found for name, _, found in rows},
            {name: expected for name, expected, _ in rows},
        )

    async def test_a_slow_handshake_is_awaited(self) -> None:
        """A handshake that takes 1 s does not cause a second attempt.

        The queue of new connections is full at first, so the first packet is
        dropped, and the kernel sends it again after 1 s.
        """
        body = {'items': [], 'has_more': False, 'timestamp': 7}
        listener = socket.create_server((HOST, 0), backlog=0)
        listener.setblocking(False)  # noqa: WPS425
        address = listener.getsockname()
        filling = socket.create_connection(address)
        driver = CurlDriver()
        reading = asyncio.create_task(PlatformStore(address, driver).read(''))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        (await loop.sock_accept(listener))[0].close()
        async with asyncio.timeout(GUARD_S):
            accepted, _ = await loop.sock_accept(listener)
            await loop.sock_recv(accepted, 1000)
            await loop.sock_sendall(accepted, answer(200, body))
            self.assertEqual((await reading).revision, 7)
        for sock in (accepted, filling, listener):
            sock.close()
        driver.close()

    async def test_all_that_share_a_link_reach_the_newest(self) -> None:
        """Three configurations take little more than one copy per follower.

        The bound is in bytes of the link, so it also holds when the test runs
        slowly.
        """
        server = FarStore()
        driver = CurlDriver()
        store = ShortWaitStore(
            PlatformStore((HOST, await server.start()), driver)
        )
        sinks = [Newest() for _ in range(FOLLOWERS)]
        tasks = [
            RangeFollower(store, '', sink, Random(seed))
            for seed, sink in enumerate(sinks)
        ]
        for follower in tasks:
            follower.start()
        async with asyncio.timeout(GUARD_S):
            await asyncio.gather(
                *(follower.synced.wait() for follower in tasks)
            )
            server.storm.set()
            while server.link.sent < ALLOWED_BYTES:
                if all(sink.revision == NEWEST for sink in sinks):
                    break
                await asyncio.sleep(PIECE_EVERY_S)
        for follower in tasks:
            await follower.close()
        driver.close()
        while server.answering:
            await asyncio.sleep(0)
        await server.close()
        self.assertEqual(
            [sink.revision for sink in sinks],
            [NEWEST] * FOLLOWERS,
        )

    async def test_an_answer_that_stops_is_requested_again(self) -> None:
        """An answer that stops at any point does not block a follower."""
        whole = change(2)
        halves = {
            'nothing': b'',
            'half a head': whole[:20],
            'half a body': whole[: len(whole) // 2],
        }
        requests = await asyncio.gather(
            *(
                followed(Step(page('k', 1)), Step(half, stops=True))
                for half in halves.values()
            ),
            followed(Step(page('k', 1)[:1000], stops=True)),
        )
        again = [('kv-range', ''), ('kv-watch', '1'), ('kv-watch', '1')]
        for name, found in zip(halves, requests, strict=False):
            with self.subTest(sent=name):
                self.assertEqual(found, again)
        with self.subTest(sent='half a page'):
            self.assertEqual(requests[-1], again[:1] * 2)


if __name__ == '__main__':
    unittest.main()
