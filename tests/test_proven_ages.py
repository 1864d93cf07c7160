"""An age counts from what is proven, however late an update or an answer is.

Where ages count from the arrival of a relay's update or of the store's answer,
they leave out the time that these waited in a suspended process, in a buffer or
on a full link. An update that is read 2 s late then gives a view an age of
0.1 s, and an answer that was on its way for 1.5 s confirms changes that were
written meanwhile. An entry that takes such a view for young refuses unknown
keys for good. This may be why one refused a key 2.6 s after it had been added,
when the entry's neighbours had been restarted; that case was not reproduced.

Load pattern: updates and answers arrive late; changes go on.
Virtual time.
"""

import asyncio
import unittest
from random import Random

from linnetwood.core.events import Event
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.freshness import RelayedUpdate, bounds_for
from linnetwood.fleet.mirror import LARGE_BYTES
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelay import RangeSubscriber
from linnetwood.fleet.ranges import Change, Changes, Record, Snapshot
from linnetwood.lab import virtual
from linnetwood.lab.memory_net import MemoryDialler, MemoryNet, MemoryStream
from linnetwood.wire.connections import Address
from linnetwood.wire.frames import Frame, FrameStream
from tests import test_relaying as zones
from tests.test_following import RecordingSink, ScriptedStore

APPLY_S = 2.0
LATE_S = 1.5
SUSPENDED_S = 2.0


class LateStore:
    """Prepare each answer at once, and deliver it late."""

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.writes: list[float] = []
        self.written = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision that was written last."""
        return 1 + len(self.writes)

    def write(self) -> None:
        """Write the key again."""
        self.writes.append(asyncio.get_running_loop().time())
        self.written.set()
        self.written = asyncio.Event()

    async def read(self, prefix: str) -> Snapshot:
        """Return the key."""
        found = Record(b'', self.revision)
        await asyncio.sleep(self.late_s)
        return Snapshot({'k': found}, found.revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for a write."""
        if self.revision <= after:
            await wait_for_event(self.written, wait_s)
        revision = self.revision
        await asyncio.sleep(self.late_s)
        change = Change('k', Record(b'', revision))
        changes = (change,) if revision > after else ()
        return Changes(changes, revision)

    def understated_s(self, follower: RangeFollower) -> float:
        """Return by how much an entry's view seems younger than it is."""
        missing = self.writes[max(0, follower.revision - 1) :]
        return follower.confirmed_at - min(
            missing, default=follower.confirmed_at
        )


async def _understated_by_late_answers_s(late_s: float, seed: int) -> float:
    """Follow a store with late answers; return the worst understated age."""
    store = LateStore(late_s)
    rng = Random(seed)
    bounds = bounds_for(APPLY_S)
    follower = RangeFollower(store, '', RecordingSink(), Random(1), bounds)
    follower.start()
    await follower.synced.wait()
    worst_s = float()
    for _ in range(1000):
        if rng.randrange(50) == 0:
            store.write()
        await asyncio.sleep(0.01)
        worst_s = max(worst_s, store.understated_s(follower))
    await follower.close()
    return worst_s


class LateAnswersTest(unittest.TestCase):
    """The store's answers are on their way for a while."""

    def test_no_age_is_younger_than_the_truth(self) -> None:
        """Everything that was written before that time is known."""
        for seed in range(4):
            for late_s in (0.005, 0.3, LATE_S):
                with self.subTest(seed=seed, late_s=late_s):
                    worst_s = virtual.run(
                        _understated_by_late_answers_s(late_s, seed)
                    )
                    self.assertLessEqual(worst_s, 0)


class SuspendedStream(MemoryStream):
    """An end of a connection that is read late once."""

    suspended_until = float()

    async def read_within(self, silent_s: float) -> Frame:
        """Read what arrived meanwhile only when the process runs again."""
        left_s = self.suspended_until - asyncio.get_running_loop().time()
        if left_s > 0:
            await asyncio.sleep(left_s)
        return await super().read_within(silent_s)


class RecordingDialler(MemoryDialler):
    """Dial, and record the connections."""

    def __init__(self, net: MemoryNet) -> None:
        super().__init__(net)
        self.streams: list[MemoryStream] = []

    async def dial(self, address: Address) -> FrameStream:
        """Connect to a process."""
        stream = await super().dial(address)
        assert isinstance(stream, MemoryStream)
        stream.__class__ = SuspendedStream
        self.streams.append(stream)
        return stream


async def _ages_with_late_updates() -> tuple[float, float]:
    """Suspend a subscriber while its relay ends; return two ages of its view.

    They are the age that the subscriber counts, and the time since its relay
    ended.
    """
    loop = asyncio.get_running_loop()
    net = MemoryNet(Random(1), 0, 0)
    store = zones.FarStore()
    names = ['10.0.0.1', '10.0.0.2']
    entries = [zones.Entry(name, store, net) for name in names]
    for entry in entries:
        entry.selector.note_seen(names, loop.time())
    first = next(entry for entry in entries if entry.selector.is_relay)
    if len(first.selector.relays) > 0:
        first = next(entry for entry in entries if not entry.selector.relays)
    second = next(entry for entry in entries if entry is not first)
    dialler = RecordingDialler(net)
    second.subscriber = RangeSubscriber(
        second.follower, second.selector, dialler, zones.PORT
    )
    for entry in entries:
        entry.start()
    await asyncio.sleep(2)
    store.cut.add(second.name)
    suspended_until = loop.time() + SUSPENDED_S
    for stream in dialler.streams:
        assert isinstance(stream, SuspendedStream)
        stream.suspended_until = suspended_until
    await asyncio.sleep(0.3)
    ended_at = loop.time()
    net.drop((first.name, zones.PORT))
    await first.close()
    store.write(b'2')
    await asyncio.sleep(suspended_until - loop.time() + 0.05)
    counted_s = loop.time() - second.follower.confirmed_at
    truth_s = loop.time() - ended_at
    await second.close()
    await net.close()
    return counted_s, truth_s


class LateUpdatesTest(unittest.TestCase):
    """The updates of a relay are read late."""

    def test_age_counts_from_when_the_update_was_sent(self) -> None:
        """Also where the relay that sent it has ended since."""
        counted_s, truth_s = virtual.run(_ages_with_late_updates())
        self.assertGreaterEqual(counted_s, truth_s)


class ViewChangedTest(unittest.TestCase):
    """The log says by which way each configuration came."""

    def test_store_relay_and_another_zone(self) -> None:
        """With the time since an entry first saw it at the store."""

        async def scenario() -> None:
            records = [Record(bytes(LARGE_BYTES), one) for one in range(4)]
            store = ScriptedStore(
                Snapshot({'k': records[1]}, 1), Changes((), 1)
            )
            follower = RangeFollower(store, '', RecordingSink(), Random(1))
            follower.start()
            await follower.synced.wait()
            follower.apply_update(_update(records[2], 0.3, 'a'))
            follower.apply_remote_update(_update(records[3], 1.5, 'b'))
            small = Record(b'', 4)
            follower.apply_remote_update(_update(small, 1.5, 'b', 'small'))
            await follower.close()

        with self.assertLogs('linnetwood', 'INFO') as captured:
            virtual.run(scenario())
        lines = [record.__dict__ for record in captured.records]
        changed = [
            (one['way'], one['source'], one['large'], one['seen_s'])
            for one in lines
            if one['event'] == Event.VIEW_CHANGED
        ]
        self.assertEqual(
            changed,
            [
                ('store', '', 1, -1),
                ('relay', 'a', 2, 0.3),
                ('zone', 'b', 3, 1.5),
            ],
        )


def _update(
    record: Record, age_s: float, source: str, key: str = 'k'
) -> RelayedUpdate:
    changes = (Change(key, record, age_s),)
    return RelayedUpdate(
        record.revision, age_s, 0, 0, 0, False, changes, (), source
    )


if __name__ == '__main__':
    unittest.main()
