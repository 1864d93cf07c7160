"""Whole events go out, halves wait."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.wire.eventstream import EventCutter

STREAM = b''.join(b'id: %d\ndata: %d\n\n' % (one, one) for one in range(9))


class EventCutterTest(unittest.TestCase):
    """Cut streams at every place."""

    @given(st.lists(st.integers(min_value=1, max_value=40), max_size=40))
    def test_any_cut_gives_the_same_events(self, sizes: list[int]) -> None:
        """However the bytes come, whole events go out in order."""
        cutter = EventCutter()
        sent = b''
        start = 0
        sizes.append(len(STREAM))
        for size in sizes:
            whole = cutter.feed(STREAM[start : start + size])
            start += size
            sent += whole
            self.assertTrue(not whole or whole.endswith(b'\n\n'))
        self.assertEqual(sent, STREAM)
        self.assertEqual((cutter.last_id, cutter.count), ('8', 9))
        self.assertFalse(cutter.half)

    def test_half_an_event_is_held_back_and_can_be_dropped(self) -> None:
        """What another endpoint sends again is not sent twice."""
        cutter = EventCutter()
        self.assertEqual(cutter.feed(b'id: 4\nda'), b'')
        self.assertTrue(cutter.half)
        cutter.drop_half()
        self.assertEqual(cutter.feed(b'id: 4\n\n'), b'id: 4\n\n')
        self.assertEqual(cutter.last_id, '4')


if __name__ == '__main__':
    unittest.main()
