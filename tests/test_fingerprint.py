"""Fingerprints of identical calls."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.fingerprint import FINGERPRINT_BYTES, call_fingerprint

# Names from stored JSON records may hold unpaired surrogates.
SURROGATE_TEXT = st.text(st.characters(exclude_categories=()), max_size=4)


class CallFingerprintTest(unittest.TestCase):
    """Fingerprints of any text in a call or a configuration."""

    @given(SURROGATE_TEXT, SURROGATE_TEXT)
    def test_any_text(self, organisation: str, target: str) -> None:
        """Any text has a fingerprint; another organisation has another."""
        fingerprint = call_fingerprint(organisation, 'GET', 'h', target, b'')
        self.assertEqual(len(fingerprint), 2 * FINGERPRINT_BYTES)
        other = call_fingerprint(f'{organisation}x', 'GET', 'h', target, b'')
        self.assertNotEqual(fingerprint, other)

    def test_unpaired_surrogates(self) -> None:
        """High and low surrogates give different fingerprints."""
        fingerprints = {
            call_fingerprint(text, 'GET', 'h', '/', b'')
            for text in ('\ud800', '\udc00', '\udc80', '?', '')
        }
        self.assertEqual(len(fingerprints), 5)


if __name__ == '__main__':
    unittest.main()
