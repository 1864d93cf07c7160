"""Notices of endpoints in their answers are parsed and stored."""

import math
import unittest

from linnetwood.calls.notices import Notice, Notices
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curlrequest import Headers

SIGNED: Headers = [('X-Attempt-Id', 'c-1'), ('X-Server-Signature', 's')]


def read(*said: tuple[str, str], status: int = 200) -> Notice | None:
    """Parse the head of an answer with some headers."""
    return PlatformDialect().notice(status, [*SIGNED, *said], 'c-1')


def limit(*texts: str) -> tuple[float | None, str]:
    """Parse limits; give the limit and the text that could not be parsed."""
    notice = read(*(('Server-Limit', text) for text in texts))
    assert notice is not None
    return notice.limit_per_s, notice.unreadable


class ParsingTest(unittest.TestCase):
    """Valid and invalid values of headers."""

    def test_limits(self) -> None:
        """A limit is a decimal number; of several the lowest counts."""
        for text, expected in (('1.8', 1.8), ('12', 12), (' 0 ', 0)):
            with self.subTest(text=text):
                self.assertEqual(limit(text), (expected, ''))
        self.assertEqual(limit('3', '2.5'), (2.5, ''))
        self.assertEqual(limit('3, 2.5'), (2.5, ''))
        self.assertEqual(limit(), (None, ''))

    def test_invalid_limits(self) -> None:
        """They are reported, truncated, and set no limit."""
        bad = ('-1', 'nan', 'inf', '1e3', '', '1.', '9' * 400, '٣', '1 2')
        for text in bad:
            with self.subTest(text=text):
                self.assertEqual(limit(text), (None, text[:40]))
        self.assertEqual(limit('bad', '4'), (4, 'bad'))

    def test_leaving(self) -> None:
        """Only the value 1 means that the endpoint leaves."""
        for text, leaving, unreadable in (
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
                (notice.leaving, notice.unreadable), (leaving, unreadable)
            )

    def test_retry_after(self) -> None:
        """Only a refusal can ask for a pause, in seconds."""
        for text, retry_after_s, unreadable in (
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
                (notice.retry_after_s, notice.unreadable),
                (retry_after_s, unreadable),
            )
            self.assertEqual(read(said, status=500), Notice())
            self.assertEqual(read(said), Notice(complete=True))

    def test_answers_of_others(self) -> None:
        """An answer that the endpoint didn't give has no notice of it."""
        said = ('Server-Limit', '2')
        self.assertIsNone(read(said, status=421))
        self.assertIsNone(read(said, ('X-Attempt-Id', 'c-2')))
        full = read(said, ('X-Not-Executed', '1'), status=503)
        self.assertEqual(full, Notice(2))
        self.assertEqual(read(said), Notice(2, complete=True))


class NoticesTest(unittest.TestCase):
    """Which notice is in effect after which answers."""

    def setUp(self) -> None:
        self.notices = Notices()

    def record(self, notice: Notice, now: float = 0) -> bool:
        """Record the notice of an answer of one endpoint."""
        return self.notices.record('i-1', notice, now)

    def limit(self) -> float | None:
        """Return the limit in effect."""
        return self.notices.latest('i-1').limit_per_s

    def test_a_limit_holds_until_a_call_that_ran_names_none(self) -> None:
        """A refusal without a limit, or a malformed limit, doesn't end it."""
        self.assertTrue(self.record(Notice(2, complete=True)))
        self.assertFalse(self.record(Notice(2, complete=True)))
        self.assertFalse(self.record(Notice()))
        self.record(Notice(unreadable='x', complete=True))
        self.assertEqual(self.limit(), 2)
        self.assertTrue(self.record(Notice(complete=True)))
        self.assertIsNone(self.limit())

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        """An answer that was begun before the endpoint left changes nothing."""
        self.assertTrue(self.record(Notice(leaving=True)))
        self.assertFalse(self.record(Notice(complete=True)))
        self.assertEqual(self.notices.available_at('i-1'), math.inf)
        self.assertEqual(self.notices.available_at('i-1@5'), -math.inf)

    def test_the_longest_requested_pause_counts(self) -> None:
        """A shorter request doesn't shorten it; a pause has an upper bound."""
        self.assertTrue(self.record(Notice(retry_after_s=3)))
        self.assertFalse(self.record(Notice(retry_after_s=1), 1))
        self.record(Notice(complete=True), 1)
        self.assertEqual(self.notices.available_at('i-1'), 3)
        self.assertTrue(self.record(Notice(retry_after_s=1), 5))
        self.record(Notice(retry_after_s=1e9), 5)
        self.assertEqual(self.notices.available_at('i-1'), 3605)
        self.assertEqual(self.notices.available_at('i-1@5'), -math.inf)
        self.notices.forget_unlisted((), 4000)
        self.assertEqual(self.notices.available_at('i-1'), -math.inf)

    def test_late_notice_of_leaving(self) -> None:
        """Guard against new calls because a newer answer came before it."""
        self.record(Notice(2, complete=True), 5)
        self.assertTrue(self.record(Notice(3, leaving=True, complete=True), 4))
        self.assertEqual(self.notices.available_at('i-1'), math.inf)
        self.assertEqual(self.limit(), 2)
        self.assertFalse(self.record(Notice(3, leaving=True, complete=True), 4))

    def test_another_incarnation_inherits_nothing(self) -> None:
        """Notices are stored by incarnation."""
        self.record(Notice(2))
        self.assertEqual(self.notices.latest('i-1@5'), Notice())

    def test_unlisted_endpoints_are_forgotten(self) -> None:
        """Their notices are kept for a time: they may be listed again."""
        self.record(Notice(2))
        self.notices.forget_unlisted((), 500)
        self.assertEqual(self.limit(), 2)
        self.notices.forget_unlisted(('i-1',), 700)
        self.assertEqual(self.limit(), 2)
        self.notices.forget_unlisted((), 700)
        self.assertIsNone(self.limit())


if __name__ == '__main__':
    unittest.main()
