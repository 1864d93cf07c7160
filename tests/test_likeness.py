"""What calls that are alike are named by."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.likeness import LIKENESS_BYTES, likeness

# Names come from stored records, which may escape half of a pair of units.
HALVES = st.text(st.characters(exclude_categories=()), max_size=4)


class LikenessTest(unittest.TestCase):
    """Whatever text a call or a configuration holds."""

    @given(HALVES, HALVES)
    def test_any_text(self, organisation: str, target: str) -> None:
        """It has a name, and another organisation gives another."""
        named = likeness(organisation, 'GET', 'h', target, b'')
        self.assertEqual(len(named), 2 * LIKENESS_BYTES)
        other = likeness(f'{organisation}x', 'GET', 'h', target, b'')
        self.assertNotEqual(named, other)

    def test_half_of_a_pair(self) -> None:
        """The first half and the second are told apart."""
        names = {
            likeness(one, 'GET', 'h', '/', b'')
            for one in ('\ud800', '\udc00', '\udc80', '?', '')
        }
        self.assertEqual(len(names), 5)


if __name__ == '__main__':
    unittest.main()
