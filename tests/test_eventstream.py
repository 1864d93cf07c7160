"""Only complete events of a stream are passed on."""

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.core.sizes import KIB
from linnetwood.wire.eventstream import EventSplitter

STREAM = b''.join(b'id: %d\ndata: %d\n\n' % (one, one) for one in range(9))


class EventCutterTest(unittest.TestCase):
    """Feed streams in pieces of any size."""

    @given(st.lists(st.integers(min_value=1, max_value=40), max_size=40))
    def test_any_cut_gives_the_same_events(self, sizes: list[int]) -> None:
        """However the bytes arrive, complete events come out in order."""
        splitter = EventSplitter()
        sent = b''
        start = 0
        sizes.append(len(STREAM))
        for size in sizes:
            whole = splitter.feed(STREAM[start : start + size])
            start += size
            sent += whole
            self.assertTrue(not whole or whole.endswith(b'\n\n'))
        self.assertEqual(sent, STREAM)
        self.assertEqual((splitter.last_id, splitter.count), ('8', 9))
        self.assertFalse(splitter.has_partial)

    def test_half_an_event_is_held_back(self) -> None:
        """An event comes out once it is complete, and only then."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b'id: 4\nda'), b'')
        self.assertTrue(splitter.has_partial)
        self.assertEqual(splitter.last_id, '')
        self.assertEqual(splitter.feed(b'\n\n'), b'id: 4\nda\n\n')
        self.assertEqual(splitter.last_id, '4')

    def test_a_piece_copies_no_more_than_itself(self) -> None:
        """Guards against an event without an end that holds up an entry."""
        splitter = EventSplitter()
        self.addCleanup(tracemalloc.stop)
        for size in (KIB, 512 * KIB):
            splitter.feed(b'x' * size)
            tracemalloc.start()
            splitter.feed(b'x')
            copied_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            with self.subTest(size=size):
                self.assertLess(copied_bytes, KIB)

    def test_small_pieces_take_no_more_memory_than_their_bytes(self) -> None:
        """Guards against one object a piece, many times the bytes held."""
        splitter = EventSplitter()
        self.addCleanup(tracemalloc.stop)
        tracemalloc.start()
        for _ in range(64 * KIB):
            splitter.feed(bytes((65, 66)))
        held_bytes = tracemalloc.get_traced_memory()[0]
        self.assertEqual(splitter.partial_bytes, 128 * KIB)
        self.assertLess(held_bytes, 2 * splitter.partial_bytes)


if __name__ == '__main__':
    unittest.main()
