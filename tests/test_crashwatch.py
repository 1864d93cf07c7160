"""What tells a crash, and how all entries learn of it; in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from linnetwood.calls.crashes import Crashes, End, incarnation_digest
from linnetwood.calls.crashtelling import EndTeller
from linnetwood.calls.crashwatch import CrashWatch
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.lab.virtual import VirtualClock, run
from linnetwood.platform.endboard import EndFeed, end_key

LIKENESS = 'c0' * 12
ONE = Endpoint('i-1', 'pool', '10.0.0.1', 80, 'z1', 8, ready=True, born=5)
END = End(LIKENESS, incarnation_digest(ONE.incarnation_id))


class Told:
    """Keep what is told."""

    def __init__(self) -> None:
        self.shared: list[End] = []
        self.dropped: list[End] = []

    def share(self, end: End) -> None:
        self.shared.append(end)

    def withdraw(self, end: End) -> None:
        self.dropped.append(end)


class Board:
    """Take what is written, but for the first few times."""

    most = 4

    def __init__(self, fails: int = 0) -> None:
        self.fails = fails
        self.calls: list[tuple[list[End], list[End]]] = []
        self.ends: set[End] = set()

    async def write(self, share: Sequence[End], drop: Sequence[End]) -> None:
        self.calls.append((list(share), list(drop)))
        await asyncio.sleep(0.01)
        self.fails -= 1
        if self.fails >= 0:
            raise StoreError('store-unreachable')
        self.ends = (self.ends | set(share)) - set(drop)


class Scene:
    """An entry that lost an answer of one endpoint."""

    def __init__(self, *refuses: bool) -> None:
        loop = asyncio.get_running_loop()
        self.looks = list(refuses)
        self.crashes = Crashes()
        self.directory = Directory()
        self.directory.update(ONE)
        self.told = Told()
        self.watch = CrashWatch(
            self.crashes,
            self.directory,
            VirtualClock(loop),
            self.refuses,
            self.told,
        )

    async def refuses(self, host: str, port: int) -> bool:
        return self.looks.pop(0) if self.looks else False

    async def lose(self, heard_s: float = 0) -> int:
        """Lose an answer, let time pass, and count the ends."""
        self.watch.lost(LIKENESS, ONE, heard_s)
        await asyncio.sleep(20)
        return self.crashes.ends(LIKENESS)


class CrashWatchTest(unittest.TestCase):
    """An answer that broke off, and what else is seen of its endpoint."""

    def ends(
        self,
        *refuses: bool,
        heard_s: float = 0,
        before: Endpoint | None = None,
        after: Endpoint | None = None,
    ) -> int:
        """Give how many ends are held against the call."""

        async def play() -> int:
            scene = Scene(*refuses)
            if before is not None:
                scene.directory.update(before)
            if after is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(2, scene.directory.update, after)
            return await scene.lose(heard_s)

        return run(play())

    def test_a_connection_that_is_refused(self) -> None:
        """It tells a crash, also where one more was still accepted."""
        self.assertEqual(self.ends(True), 1)
        self.assertEqual(self.ends(False, True), 1)

    def test_an_endpoint_that_lives(self) -> None:
        """A cut, a reset, a spoilt answer: nobody is suspected."""
        self.assertEqual(self.ends(), 0)

    def test_another_life_at_the_address(self) -> None:
        """Under its id or another one: the earlier life has ended."""
        for other in (
            Endpoint('i-1', 'pool', '10.0.0.1', 80, 'z1', 8, True, born=9),
            Endpoint('i-2', 'pool', '10.0.0.1', 80, 'z1', 8, ready=True),
        ):
            with self.subTest(other=other.endpoint_id):
                came = self.ends(after=other)
                self.assertEqual(came, 1)

    def test_an_address_that_others_use_now(self) -> None:
        """Another service says nothing of this one."""
        other = Endpoint('i-9', 'desk', '10.0.0.1', 80, 'z1', 8, ready=True)
        self.assertEqual(self.ends(after=other), 0)

    def test_an_end_that_was_told_beforehand(self) -> None:
        """A drain ends calls that outlast it; that is no crash."""
        leaving = Endpoint(
            'i-1', 'pool', '10.0.0.1', 80, 'z1', 8, False, born=5
        )
        came = self.ends(True, before=leaving)
        self.assertEqual(came, 0)

    def test_an_entry_that_has_gone(self) -> None:
        """So did the endpoint's word, before its calls broke off."""

        async def play() -> int:
            scene = Scene(True)
            scene.directory.mark_removed('i-1', 0)
            return await scene.lose()

        self.assertEqual(run(play()), 0)

    def test_a_call_that_ran_well(self) -> None:
        """It is not what ended the endpoint."""
        self.assertEqual(self.ends(True, heard_s=1.2), 0)

    def test_all_suspects_of_one_crash(self) -> None:
        """One look serves all; those that are noticed later count too."""

        async def play() -> Scene:
            scene = Scene(True)
            for number in range(8):
                scene.watch.lost(f'l-{number}', ONE, 0)
            await asyncio.sleep(0.1)
            scene.watch.lost('late', ONE, 0)
            await asyncio.sleep(20)
            scene.watch.answered('l-3')
            return scene

        scene = run(play())
        self.assertEqual(len(scene.told.shared), 9)
        self.assertEqual(scene.crashes.ends('late'), 1)
        self.assertEqual([one.likeness for one in scene.told.dropped], ['l-3'])


class EndTellerTest(unittest.TestCase):
    """What is shared, in how many calls."""

    def tell(
        self,
        board: Board,
        work: Callable[[EndTeller], Awaitable[None]],
    ) -> None:
        """Let a teller work for a while."""

        async def play() -> None:
            teller = EndTeller(board, Random(1), lambda: 1)
            teller.start()
            await work(teller)
            await asyncio.sleep(10)
            await teller.close()

        run(play())

    def test_the_suspects_of_a_crash_go_together(self) -> None:
        """As many at a time as a call may carry, soon enough."""
        board = Board()
        ends = [End(f'l-{number}', 'a') for number in range(6)]

        async def work(teller: EndTeller) -> None:
            for end in ends:
                teller.share(end)
            await asyncio.sleep(0.3)
            self.assertEqual(board.ends, set(ends))

        self.tell(board, work)
        self.assertEqual(len(board.calls), 2)

    def test_a_store_that_is_away(self) -> None:
        """It is told within a second of its return."""
        board = Board(fails=8)

        async def work(teller: EndTeller) -> None:
            teller.share(END)

        self.tell(board, work)
        self.assertEqual(board.ends, {END})

    def test_cleared_before_it_was_told(self) -> None:
        """Nothing is written."""
        board = Board()

        async def work(teller: EndTeller) -> None:
            teller.share(END)
            teller.withdraw(END)

        self.tell(board, work)
        self.assertEqual(board.ends, set())

    def test_cleared_while_it_is_told(self) -> None:
        """It is taken away again."""
        board = Board()

        async def work(teller: EndTeller) -> None:
            teller.share(END)
            await asyncio.sleep(0.105)
            self.assertEqual(len(board.calls), 1)
            teller.withdraw(END)

        self.tell(board, work)
        self.assertEqual(board.ends, set())


class EndFeedTest(unittest.TestCase):
    """Ends as they stand in the store."""

    def setUp(self) -> None:
        self.crashes = Crashes()
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.feed = EndFeed(self.crashes, VirtualClock(loop))

    def test_ends_come_and_go(self) -> None:
        """By changes and by whole ranges."""
        key = end_key(END)
        self.assertLessEqual(len(key), 200)
        self.feed.changed((Change(key, Record(b'', 3)),))
        self.assertEqual(self.crashes.ends(LIKENESS), 1)
        self.feed.changed((Change(key, None),))
        self.assertEqual(self.crashes.ends(LIKENESS), 0)
        self.feed.replaced(Snapshot({key: Record(b'', 3)}, 3))
        self.assertEqual(self.crashes.ends(LIKENESS), 1)
        self.feed.replaced(Snapshot({}, 4))
        self.assertEqual(self.crashes.ends(LIKENESS), 0)

    def test_what_another_took_away(self) -> None:
        """Nobody here need take it away."""
        gone: list[End] = []
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        clock = VirtualClock(loop)
        feed = EndFeed(self.crashes, clock, gone=gone.append)
        feed.changed((Change(end_key(END), Record(b'', 3)),))
        self.assertEqual(gone, [])
        feed.changed((Change(end_key(END), None),))
        self.assertEqual(gone, [END])

    def test_keys_that_others_wrote(self) -> None:
        """What is no such key is passed over; its value never counts."""
        for key in ('ends/', 'ends/x/y', f'ends/{LIKENESS}', 'ends/' + '/' * 9):
            self.feed.changed((Change(key, Record(b'\xff', 3)),))
            self.feed.changed((Change(key, None),))
        self.feed.changed((Change(end_key(END), Record(b'\xff{', 3)),))
        self.assertEqual(self.crashes.ends(LIKENESS), 1)


if __name__ == '__main__':
    unittest.main()
