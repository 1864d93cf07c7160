"""What calls that are alike are named by."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.fingerprint import FINGERPRINT_BYTES, call_fingerprint

# Names come from stored records, which may escape half of a pair of units.
SURROGATE_TEXT = st.text(st.characters(exclude_categories=()), max_size=4)


class CallFingerprintTest(unittest.TestCase):
    """Whatever text a call or a configuration holds."""

    @given(SURROGATE_TEXT, SURROGATE_TEXT)
    def test_any_text(self, organisation: str, target: str) -> None:
        """It has a name, and another organisation gives another."""
        fingerprint = call_fingerprint(organisation, 'GET', 'h', target, b'')
        self.assertEqual(len(fingerprint), 2 * FINGERPRINT_BYTES)
        other = call_fingerprint(f'{organisation}x', 'GET', 'h', target, b'')
        self.assertNotEqual(fingerprint, other)

    def test_half_of_a_pair(self) -> None:
        """The first half and the second are told apart."""
        fingerprints = {
            call_fingerprint(text, 'GET', 'h', '/', b'')
            for text in ('\ud800', '\udc00', '\udc80', '?', '')
        }
        self.assertEqual(len(fingerprints), 5)


if __name__ == '__main__':
    unittest.main()
