"""At most once: a key is run once, by one incarnation."""

import unittest

from linnetwood.calls import keys
from linnetwood.calls.keys import Key, KeyDecision, KeyMemory
from linnetwood.core.errors import CallError


def memory(limit: int = 10) -> KeyMemory:
    """Return the key memory of incarnation 5 on vm-1."""
    return KeyMemory('vm-1', 5, 10.0, limit, 0)


class KeysTest(unittest.TestCase):
    """Which keys may run."""

    def test_round_trip_and_malformed(self) -> None:
        """A key parses back; anything else is refused."""
        key = Key('vm-1.east', 5, 1, 'n1')
        self.assertEqual(keys.parse(key.text()), key)
        for text in ('', 'x', 'a.b.c.d', 'vm.1.2.', '.1.2.n', 'v' * 300):
            with self.subTest(text), self.assertRaises(CallError):
                keys.parse(text)

    def test_runs_once(self) -> None:
        """The second time the key is used up."""
        held = memory()
        found = [held.claim(Key('vm-1', 5, 1, 'n')) for _ in range(2)]
        self.assertEqual(found, [KeyDecision.RUN, KeyDecision.USED])

    def test_other_owner(self) -> None:
        """Another VM or an earlier incarnation refuses."""
        for key in (Key('vm-2', 5, 1, 'n'), Key('vm-1', 4, 1, 'n')):
            with self.subTest(key.text()):
                self.assertIs(memory().claim(key), KeyDecision.OTHER_OWNER)

    def test_forgotten_epoch_is_refused(self) -> None:
        """A key older than the kept epochs is refused, run or not."""
        held = memory()
        held.claim(Key('vm-1', 5, 1, 'n'))
        for now in (10, 20, 30):
            self.assertTrue(held.advance(now))
        self.assertIs(held.claim(Key('vm-1', 5, 1, 'n')), KeyDecision.EXPIRED)
        self.assertIs(held.claim(Key('vm-1', 5, 2, 'n')), KeyDecision.RUN)

    def test_future_epoch_is_refused(self) -> None:
        """A key of an epoch that has not begun is refused."""
        self.assertIs(
            memory().claim(Key('vm-1', 5, 9, 'n')), KeyDecision.EXPIRED
        )

    def test_full_memory_refuses_new_keys(self) -> None:
        """A full memory drops no key to make room."""
        held = memory(limit=1)
        held.claim(Key('vm-1', 5, 1, 'a'))
        self.assertIs(held.claim(Key('vm-1', 5, 1, 'b')), KeyDecision.FULL)
        self.assertIs(held.claim(Key('vm-1', 5, 1, 'a')), KeyDecision.USED)

    def test_replay_of_small_answers_only(self) -> None:
        """A small answer is sent again; a large one is not kept."""
        held = memory()
        cases = ((10, KeyDecision.REPLAY), (5000, KeyDecision.USED))
        for size, expected in cases:
            key = Key('vm-1', 5, 1, f'n{size}')
            held.claim(key)
            held.store_answer(key, keys.StoredAnswer(200, (), bytes(size)))
            with self.subTest(size):
                self.assertIs(held.claim(key), expected)


if __name__ == '__main__':
    unittest.main()
