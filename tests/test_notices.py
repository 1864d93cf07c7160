"""What endpoints say of themselves in their answers is read and kept."""

import math
import unittest

from linnetwood.calls.notices import Notice, Notices
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import Headers

SIGNED: Headers = [('X-Attempt-Id', 'c-1'), ('X-Server-Signature', 's')]


def read(*said: tuple[str, str], status: int = 200) -> Notice | None:
    """Read the head of an answer that says something."""
    return PlatformDialect().notice(status, [*SIGNED, *said], 'c-1')


def limit(*texts: str) -> tuple[float | None, str]:
    """Read limits, and what of them could not be read."""
    notice = read(*(('Server-Limit', text) for text in texts))
    assert notice is not None
    return notice.limit_per_s, notice.unreadable


class ReadingTest(unittest.TestCase):
    """Values of headers, good and bad."""

    def test_limits(self) -> None:
        """A decimal number counts; of several the least does."""
        for text, expected in (('1.8', 1.8), ('12', 12), (' 0 ', 0)):
            with self.subTest(text=text):
                self.assertEqual(limit(text), (expected, ''))
        self.assertEqual(limit('3', '2.5'), (2.5, ''))
        self.assertEqual(limit('3, 2.5'), (2.5, ''))
        self.assertEqual(limit(), (None, ''))

    def test_values_that_are_no_limits(self) -> None:
        """They are told, cut short, and set nothing."""
        bad = ('-1', 'nan', 'inf', '1e3', '', '1.', '9' * 400, '٣', '1 2')
        for text in bad:
            with self.subTest(text=text):
                self.assertEqual(limit(text), (None, text[:40]))
        self.assertEqual(limit('bad', '4'), (4, 'bad'))

    def test_leaving(self) -> None:
        """Only its one value says so."""
        for text, leaving, unread in (
            ('1', True, ''),
            (' 1 ', True, ''),
            ('0', False, ''),
            ('yes', False, 'yes'),
            ('', False, ''),
            ('1, no', True, 'no'),
        ):
            notice = read(('server-leaving', text))
            assert notice is not None
            self.assertEqual(
                (notice.leaving, notice.unreadable), (leaving, unread)
            )

    def test_rest(self) -> None:
        """Only one that turns a call away asks for it, in seconds."""
        for text, rest_s, unread in (
            ('3', 3, ''),
            ('0.25', 0.25, ''),
            ('0', 0, ''),
            ('-3', 0, '-3'),
            ('soon', 0, 'soon'),
            ('Thu, 03 Dec 2026', 0, 'Thu, 03 Dec 2026'),
        ):
            said = ('Retry-After', text)
            notice = read(said, ('X-Not-Executed', '1'), status=503)
            assert notice is not None
            self.assertEqual(
                (notice.retry_after_s, notice.unreadable), (rest_s, unread)
            )
            self.assertEqual(read(said, status=500), Notice())
            self.assertEqual(read(said), Notice(complete=True))

    def test_whose_word_it_is(self) -> None:
        """An answer of somebody else says nothing of the endpoint."""
        said = ('Server-Limit', '2')
        self.assertIsNone(read(said, status=421))
        self.assertIsNone(read(said, ('X-Attempt-Id', 'c-2')))
        full = read(said, ('X-Not-Executed', '1'), status=503)
        self.assertEqual(full, Notice(2))
        self.assertEqual(read(said), Notice(2, complete=True))


class KeptTest(unittest.TestCase):
    """What holds after which answers."""

    def setUp(self) -> None:
        self.notices = Notices()

    def hear(self, notice: Notice, now: float = 0) -> bool:
        """Hear an answer of the one endpoint."""
        return self.notices.record('i-1', notice, now)

    def limit(self) -> float | None:
        """Give the limit that holds."""
        return self.notices.latest('i-1').limit_per_s

    def test_a_limit_holds_until_a_call_that_ran_names_none(self) -> None:
        """A refusal without it, or with a bad one, ends no limit."""
        self.assertTrue(self.hear(Notice(2, complete=True)))
        self.assertFalse(self.hear(Notice(2, complete=True)))
        self.assertFalse(self.hear(Notice()))
        self.hear(Notice(unreadable='x', complete=True))
        self.assertEqual(self.limit(), 2)
        self.assertTrue(self.hear(Notice(complete=True)))
        self.assertIsNone(self.limit())

    def test_a_life_that_leaves_does_so_for_good(self) -> None:
        """An answer that was begun before it said so calls nothing back."""
        self.assertTrue(self.hear(Notice(leaving=True)))
        self.assertFalse(self.hear(Notice(complete=True)))
        self.assertEqual(self.notices.available_at('i-1'), math.inf)
        self.assertEqual(self.notices.available_at('i-1@5'), -math.inf)

    def test_rest_lasts_as_long_as_the_longest_asked_for(self) -> None:
        """An answer that asks for less shortens none, and none is a year."""
        self.assertTrue(self.hear(Notice(retry_after_s=3)))
        self.assertFalse(self.hear(Notice(retry_after_s=1), 1))
        self.hear(Notice(complete=True), 1)
        self.assertEqual(self.notices.available_at('i-1'), 3)
        self.assertTrue(self.hear(Notice(retry_after_s=1), 5))
        self.hear(Notice(retry_after_s=1e9), 5)
        self.assertEqual(self.notices.available_at('i-1'), 3605)
        self.assertEqual(self.notices.available_at('i-1@5'), -math.inf)
        self.notices.forget_unlisted((), 4000)
        self.assertEqual(self.notices.available_at('i-1'), -math.inf)

    def test_leaving_holds_also_where_it_is_told_late(self) -> None:
        """Guard against new work since another answer came in between."""
        self.hear(Notice(2, complete=True), 5)
        self.assertTrue(self.hear(Notice(3, leaving=True, complete=True), 4))
        self.assertEqual(self.notices.available_at('i-1'), math.inf)
        self.assertEqual(self.limit(), 2)
        self.assertFalse(self.hear(Notice(3, leaving=True, complete=True), 4))

    def test_another_life_inherits_nothing(self) -> None:
        """What is said is kept by life."""
        self.hear(Notice(2))
        self.assertEqual(self.notices.latest('i-1@5'), Notice())

    def test_who_is_no_longer_listed_is_forgotten(self) -> None:
        """It is kept a while: the list may tell of it again."""
        self.hear(Notice(2))
        self.notices.forget_unlisted((), 500)
        self.assertEqual(self.limit(), 2)
        self.notices.forget_unlisted(('i-1',), 700)
        self.assertEqual(self.limit(), 2)
        self.notices.forget_unlisted((), 700)
        self.assertIsNone(self.limit())


if __name__ == '__main__':
    unittest.main()
