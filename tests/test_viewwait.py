"""Calls that an entry reads after its loop was held up."""

import asyncio
import math
from unittest import mock

from linnetwood.calls import viewwait
from linnetwood.calls.viewwait import MAX_VIEW_WAIT_S, ViewWait
from linnetwood.core.loops import SuspendableLoop
from linnetwood.lab import virtual
from tests.test_callserver import request
from tests.test_configuration_cases import (
    CONFIG,
    NO_KEY,
    NO_ROUTE,
    SERVED,
    ConfigurationCase,
    config,
    routed,
)
from tests.test_curldriver import HOST

GUARD_S = 60


class News:
    """A view that is confirmed by hand."""

    def __init__(self) -> None:
        self.is_stale = True
        self.events: set[asyncio.Event] = set()

    def subscribe(self, event: asyncio.Event) -> None:
        """Set an event from now on."""
        self.events.add(event)

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Stop setting an event."""
        self.events.remove(event)

    def confirm(self, *, is_stale: bool = False) -> None:
        """Confirm the view as of now, or as of a time that is long over."""
        self.is_stale = is_stale
        for event in self.events:
            event.set()


def waited_s(
    *, stale: bool = True, held_up_s: float = 0, confirmed_s: float = math.inf
) -> float:
    """Return how long a call waits, in virtual time."""

    async def wait() -> float:
        loop = asyncio.get_running_loop()
        news = News()
        news.is_stale = stale
        gate = ViewWait(
            news,
            lambda: news.is_stale,
            lambda: held_up_s + loop.time(),
        )
        loop.call_later(0.01, lambda: news.confirm(is_stale=True))
        if math.isfinite(confirmed_s):
            loop.call_later(confirmed_s, news.confirm)
        await gate.wait()
        assert not news.events
        return loop.time()

    return virtual.run(wait())


class ViewWaitTest(ConfigurationCase):
    """Let an entry read calls and news after a hold-up, calls first."""

    async def after_hold_up(
        self, said: object, **asked: str
    ) -> tuple[int, list[str]]:
        """Return a call's status, and where it ran; the news come behind it."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SuspendableLoop)
        now = loop.time()
        self.entry._follower.confirmed_at = now - 5
        loop._bounded.held_up_at = now
        sent = asyncio.create_task(
            self.send(request('/a/x', asked.get('key', 'k1')))
        )
        while not self.entry._follower._subscribers:
            if sent.done():
                break
            await asyncio.sleep(0)
        if said is not None:
            self.configure(said)
            self.entry._follower._notify()
        status = await sent
        ran = [name for name, one in self.servers.items() if one.requests]
        return status, ran

    async def send(self, asked: bytes) -> int:
        """Send one call; return its status."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(asked)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def test_calls_are_decided_by_what_is_in_force(self) -> None:
        """Guard against a dropped route or key that is used once more."""
        cases = (
            (config(8, routes=[]), NO_ROUTE[0]),
            (config(9), SERVED[0]),
            (config(10, tenants=CONFIG['tenants'][1:]), NO_KEY[0]),
            ({**routed(service='hall'), 'version': 11}, SERVED[0]),
        )
        await self.begin()
        for said, expected in cases:
            for server in self.servers.values():
                server.requests.clear()
            # However busy the machine is, the news come in time.
            with mock.patch.object(viewwait, 'MAX_VIEW_WAIT_S', GUARD_S):
                status, ran = await self.after_hold_up(said)
            with self.subTest(version=said['version']):
                self.assertEqual(status, expected)
                name = 'hall' if said['version'] == 11 else 'desk'
                self.assertEqual(ran, [name] if expected == 200 else [])

    async def test_known_routes_are_served_without_the_store(self) -> None:
        """Guard against an entry that waits for a store that is away."""
        await self.begin()
        self.assertEqual(await self.after_hold_up(None), (200, ['desk']))

    def test_waits(self) -> None:
        """Only a stale view after a hold-up is waited for, and not for long."""
        self.assertEqual(waited_s(stale=False), 0)
        self.assertEqual(waited_s(held_up_s=MAX_VIEW_WAIT_S), 0)
        self.assertEqual(waited_s(held_up_s=math.inf), 0)
        self.assertAlmostEqual(waited_s(confirmed_s=0.03), 0.03)
        self.assertAlmostEqual(waited_s(), MAX_VIEW_WAIT_S)
        self.assertAlmostEqual(waited_s(held_up_s=0.06), 0.04)
