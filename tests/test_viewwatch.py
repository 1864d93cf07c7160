"""The log of a view that becomes stale, and fresh again."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from linnetwood.calls.configbasis import ConfigAgeTracker
from linnetwood.calls.viewwatch import ViewWatch
from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.core.logformat import line_formatter
from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.ranges import Snapshot
from linnetwood.lab import virtual
from tests.test_following import RecordingSink
from tests.test_relaying_quiet import BOUND_S, MAX_AGE_S, QuietStore

VIEW_EVENTS = {Event.VIEW_STALE, Event.VIEW_FRESH}


class LoopClock:
    """The clock of the running loop."""

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same."""
        return self.now()


class AbsentStore(QuietStore):
    """A store that sends no answer to any request."""

    async def read(self, prefix: str) -> Snapshot:
        """Wait for longer than the test."""
        await asyncio.sleep(60)
        raise StoreError('store-unreachable', 'silent')


class Watched:
    """A follower of a quiet store, and the watch of its view."""

    def __init__(self, store: QuietStore) -> None:
        self.store = store
        self.metrics = ExposedMetrics()
        self.follower = RangeFollower(
            self.store, '', RecordingSink(), Random(1), bounds_for(BOUND_S)
        )
        follower = self.follower
        self.watch = ViewWatch(
            follower,
            ConfigAgeTracker(
                LoopClock(),
                lambda: follower.confirmed_at,
                MAX_AGE_S,
                lambda: follower.store_confirmed_at,
            ),
            follower.sources,
            MAX_AGE_S,
            self.metrics,
        )

    def relay(self, age_s: float, host: str = '10.0.0.7') -> None:
        """Let a relay confirm the view as of so long ago."""
        update = RelayedUpdate(
            1,
            age_s,
            age_s,
            age_s,
            0,
            whole=False,
            changes=(),
            source=host,
        )
        self.follower.apply_update(update)


class ViewWatchTest(unittest.TestCase):
    """Follow a store that falls silent or fails."""

    def lines(
        self,
        scenario: Callable[[Watched], Awaitable[None]],
        store: QuietStore | None = None,
    ) -> list[dict[str, Any]]:
        """Run a scenario in virtual time; return the lines about the view."""

        async def run() -> None:
            watched = Watched(store or QuietStore())
            watched.watch.start()
            watched.follower.start()
            await scenario(watched)
            await watched.watch.close()
            await watched.follower.close()

        with self.assertLogs('linnetwood', 'INFO') as captured:
            virtual.run(run())
        lines = [record.__dict__ for record in captured.records]
        self.cut = [
            line_formatter('frontend-mi-sala1-3').format(record)[:200]
            for record in captured.records
            if record.__dict__['event'] in VIEW_EVENTS
        ]
        return [line for line in lines if line['event'] in VIEW_EVENTS]

    def test_silent_store(self) -> None:
        """Guards against a stale view of which no line says since when."""

        async def scenario(watched: Watched) -> None:
            await asyncio.sleep(5)
            self.assertEqual(watched.watch.stale_s(), 0)
            watched.store.is_silent = True
            await asyncio.sleep(6)
            self.assertGreater(watched.watch.stale_s(), 2)
            watched.store.is_silent = False
            await asyncio.sleep(9)
            self.assertEqual(watched.watch.stale_s(), 0)
            found = watched.metrics.text().decode()
            self.assertIn('linnetwood_views_stale_total 1.0', found)

        stale, fresh = self.lines(scenario)
        self.assertEqual(stale['event'], Event.VIEW_STALE)
        self.assertEqual(stale['levelname'], 'WARNING')
        self.assertEqual((stale['code'], stale['asked']), ('waiting', 'wait'))
        # By a millisecond beyond the limit, and asked after the last answer.
        self.assertEqual(stale['store_age_ms'], round(MAX_AGE_S * 1000) + 1)
        self.assertLess(stale['asked_s'], MAX_AGE_S)
        self.assertEqual(fresh['event'], Event.VIEW_FRESH)
        self.assertEqual((fresh['way'], fresh['source']), ('store', ''))
        self.assertGreater(fresh['stale_s'], 2)
        self.assertLess(fresh['age_s'], MAX_AGE_S)
        for cut, names in zip(
            self.cut,
            (('code', 'basis', 'asked_s'), ('basis', 'stale_s', 'way')),
            strict=True,
        ):
            for name in names:
                self.assertIn(f'"{name}": ', cut)

    def test_relay_helps(self) -> None:
        """Guards against a line that says fresh, and not by whom."""

        async def scenario(watched: Watched) -> None:
            await asyncio.sleep(1)
            watched.store.is_failing = True
            await asyncio.sleep(5)
            # Too old to be trusted.
            watched.relay(MAX_AGE_S + 0.1)
            await asyncio.sleep(1)
            watched.relay(0.25)
            # Read in the same step of the loop; it confirms nothing.
            watched.relay(MAX_AGE_S + 0.1, '10.0.0.8')
            await asyncio.sleep(0.1)

        stale, fresh = self.lines(scenario)
        self.assertEqual(stale['code'], 'store-unreachable')
        self.assertEqual((stale['relay'], stale['relay_s']), ('', -1))
        self.assertEqual((fresh['way'], fresh['source']), ('relay', '10.0.0.7'))
        self.assertEqual(fresh['age_s'], 0.25)
        self.assertEqual(fresh['confirmed_by'], 'relay')

    def test_stale_relay_is_named(self) -> None:
        """Guards against a stale view whose relay nobody can find."""

        async def scenario(watched: Watched) -> None:
            await asyncio.sleep(1)
            watched.store.is_failing = True
            watched.relay(0.5)
            await asyncio.sleep(1)
            watched.relay(1.5)
            await asyncio.sleep(4)

        stale = self.lines(scenario)[0]
        self.assertEqual(stale['relay'], '10.0.0.7')
        self.assertGreater(stale['relay_age_s'], stale['relay_s'])

    def test_start_without_a_store(self) -> None:
        """Guards against an entry that starts blind without a line."""

        async def scenario(watched: Watched) -> None:
            await asyncio.sleep(10)
            watched.relay(0.1)
            await asyncio.sleep(0.1)

        stale, fresh = self.lines(scenario, AbsentStore())
        self.assertEqual(stale['store_age_ms'], -1)
        self.assertEqual((stale['code'], stale['asked']), ('waiting', 'read'))
        self.assertEqual(fresh['way'], 'relay')


if __name__ == '__main__':
    unittest.main()
