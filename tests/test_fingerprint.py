"""Fingerprints of identical calls."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from linnetwood.calls.fingerprint import (
    FINGERPRINT_BYTES,
    MAX_PARTS,
    call_fingerprint,
    part_fingerprints,
)
from linnetwood.platform.dialect import PlatformDialect

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


class PartFingerprintsTest(unittest.TestCase):
    """Fingerprints of the parts of prompts."""

    def test_parts_of_one_model(self) -> None:
        """A part has one fingerprint wherever it stands, for each model."""
        first, second = part_fingerprints('m', ('a', 'b', 'a'))
        self.assertEqual(part_fingerprints('m', ('b',)), (second,))
        self.assertNotEqual(part_fingerprints('n', ('a',)), (first,))
        self.assertEqual(len(first), 2 * FINGERPRINT_BYTES)
        self.assertEqual(part_fingerprints('m', ()), ())

    def test_many_parts(self) -> None:
        """Guard against prompts that fill memory; no part is left out."""
        ids = [str(number) for number in range(1000)]
        found = part_fingerprints('m', ids)
        self.assertEqual(len(found), MAX_PARTS)
        self.assertNotEqual(part_fingerprints('m', [*ids[:-1], 'x']), found)


class SharedPartsTest(unittest.TestCase):
    """The parts that a platform's caller names."""

    def shared(self, *texts: str) -> tuple[str, ...]:
        """Return the shared parts of a call with these headers."""
        headers = [('X-Prompt-Prefix', text) for text in texts]
        return PlatformDialect().read(headers).shared_parts

    def test_all_but_the_last(self) -> None:
        """The last part is the call's own."""
        self.assertEqual(self.shared('a1:40,b2:7,c3:9'), ('a1', 'b2'))
        self.assertEqual(self.shared('a1:40', 'c3:9'), ('a1',))
        self.assertEqual(self.shared('c3:9'), ())
        self.assertEqual(self.shared(), ())

    def test_malformed(self) -> None:
        """Whatever a caller sends is read without an error."""
        self.assertEqual(self.shared('a1,,:5, b2 :x:y,c3'), ('a1', 'b2'))


if __name__ == '__main__':
    unittest.main()
