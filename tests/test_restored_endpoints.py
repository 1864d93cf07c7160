"""What becomes of endpoints when the store comes back from a copy.

Guards against calls to endpoints that had left: the copy is older than their
leaving and lists them as ready until they write once more, or for good if they
have ended. And against calls refused for want of endpoints that live on: their
records are younger than the copy.
"""

import json
import unittest

from linnetwood.calls.directory import (
    KEPT_AFTER_OUTAGE_S,
    UNCONFIRMED_S,
    Directory,
    Endpoint,
)
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.fleet.revisions import join
from linnetwood.platform.feeds import EndpointFeed
from tests.clocks import ManualClock
from tests.test_directory import endpoint

SERVICE = 'desk'


def no_change() -> None:
    """Ignore changes."""


def key(name: str) -> str:
    """Return the key of an endpoint."""
    return f'servers/{name}'


def record(revision: int, state: str = 'ready', born: int = 0) -> Record:
    """Return the record of an endpoint as the store holds it."""
    stored = {
        'service': SERVICE,
        'address': '10.0.0.1:80',
        'zone': 'z1',
        'version': '1',
        'slots': 4,
        'state': state,
        'cold_remaining_ms': 0,
        'sequence': 0,
        'born': born,
    }
    return Record(json.dumps(stored).encode(), revision)


class LeavingTest(unittest.TestCase):
    """Leaving is final for an incarnation, whatever a later record says."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.update(endpoint('i-1'))
        self.directory.update(endpoint('i-1', ready=False))

    def is_eligible(self, name: str = 'i-1') -> bool:
        """Return whether an endpoint may get calls."""
        found = self.directory.get(name)
        return found is not None and self.directory.is_eligible(found, 100)

    def test_a_copy_does_not_undo_it(self) -> None:
        """Neither by a change nor by a whole list, nor after its removal."""
        self.directory.update(endpoint('i-1'))
        self.assertFalse(self.is_eligible())
        self.directory.replace_all({'i-1': endpoint('i-1')}, 100)
        self.assertFalse(self.is_eligible())
        self.directory.mark_removed('i-1', 100)
        self.directory.replace_all({'i-1': endpoint('i-1')}, 100)
        self.assertFalse(self.is_eligible())

    def test_another_incarnation_does_not_inherit_it(self) -> None:
        """An endpoint that starts again under its id gets calls."""
        self.directory.update(self._born(2000))
        self.assertTrue(self.is_eligible())
        self.directory.update(endpoint('i-2'))
        self.assertTrue(self.is_eligible('i-2'))

    def test_a_superseded_endpoint_is_listed_again(self) -> None:
        """That its address has a later incarnation isn't its leaving."""
        self.directory.update(endpoint('i-3'))
        self.directory.mark_superseded('i-3')
        self.assertFalse(self.is_eligible('i-3'))
        self.directory.update(endpoint('i-3'))
        self.assertTrue(self.is_eligible('i-3'))

    def test_what_is_kept_is_bounded(self) -> None:
        """The oldest are forgotten first."""
        for number in range(5000):
            self.directory.update(endpoint(f'o-{number}', ready=False))
            self.directory.mark_removed(f'o-{number}', 100)
        self.directory.update(endpoint('o-4999'))
        self.assertFalse(self.is_eligible('o-4999'))
        self.directory.update(endpoint('o-0'))
        self.assertTrue(self.is_eligible('o-0'))

    def _born(self, born: int) -> Endpoint:
        parsed = endpoint('i-1')
        return Endpoint(
            parsed.endpoint_id,
            parsed.service,
            parsed.host,
            parsed.port,
            parsed.zone,
            parsed.slots,
            ready=True,
            born=born,
        )


class RestoredListTest(unittest.TestCase):
    """Apply the list of a store that was restored."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory()
        self.feed = EndpointFeed(self.directory, self.clock, no_change)

    def eligible(self) -> list[str]:
        """Return the ids of the endpoints that may get calls."""
        found = self.directory.eligible(SERVICE, self.clock.now())
        return sorted(one.endpoint_id for one in found)

    def write(self, name: str, era: int, number: int, state: str) -> None:
        """Apply one written record."""
        changed = Change(key(name), record(join(era, number), state))
        self.feed.apply_changes((changed,))

    def test_a_leaving_that_the_copy_lacks(self) -> None:
        """The endpoint gets no calls while the list says that it is ready."""
        self.write('i-1', 1, 5, 'ready')
        self.write('i-2', 1, 6, 'ready')
        self.write('i-1', 1, 9, 'draining')
        copy = {
            key('i-1'): record(join(2, 5)),
            key('i-2'): record(join(2, 6)),
        }
        self.feed.replace_all(Snapshot(copy, join(2, 7)))
        self.assertEqual(self.eligible(), ['i-2'])

    def restore(self, *names: str) -> None:
        """Apply the list of the second history."""
        copy = {key(name): record(join(2, 5)) for name in names}
        self.feed.replace_all(Snapshot(copy, join(2, 7), is_restored=True))

    def test_a_record_that_is_younger_than_the_copy(self) -> None:
        """Its endpoint is used until it is written again, though not for long.

        Nobody here saw the store away.
        """
        self.write('i-1', 1, 5, 'ready')
        self.write('i-2', 1, 9, 'ready')
        self.write('i-3', 1, 10, 'ready')
        self.restore('i-1')
        self.assertEqual(self.eligible(), ['i-1', 'i-2', 'i-3'])
        self.clock.at += 1
        self.write('i-2', 2, 8, 'ready')
        self.clock.at += KEPT_AFTER_OUTAGE_S
        self.assertEqual(self.eligible(), ['i-1', 'i-2'])

    def test_a_removal_that_the_copy_lacks(self) -> None:
        """An endpoint that was gone is not used before it is written again."""
        for name in ('i-1', 'i-2', 'i-3'):
            self.write(name, 1, 5, 'ready')
        for name in ('i-2', 'i-3'):
            self.feed.apply_changes((Change(key(name), None),))
        self.restore('i-1', 'i-2', 'i-3')
        self.assertEqual(self.eligible(), ['i-1'])
        # Read again meanwhile.
        copy = {key(one): record(join(2, 5)) for one in ('i-1', 'i-2', 'i-3')}
        self.feed.replace_all(Snapshot(copy, join(2, 8)))
        self.assertEqual(self.eligible(), ['i-1'])
        self.write('i-2', 2, 9, 'ready')
        self.assertEqual(self.eligible(), ['i-1', 'i-2'])
        # It lives and had nothing to write: its record hasn't lapsed.
        self.clock.at += UNCONFIRMED_S
        self.directory.expire(self.clock.at)
        self.assertEqual(self.eligible(), ['i-1', 'i-2', 'i-3'])

    def test_a_list_that_is_read_again_in_one_history(self) -> None:
        """What is there again was written again, and what isn't is gone."""
        self.write('i-1', 1, 5, 'ready')
        self.write('i-2', 1, 6, 'ready')
        self.feed.apply_changes((Change(key('i-1'), None),))
        found = {key('i-1'): record(join(1, 8))}
        self.feed.replace_all(Snapshot(found, join(1, 8)))
        self.assertEqual(self.eligible(), ['i-1'])


if __name__ == '__main__':
    unittest.main()
