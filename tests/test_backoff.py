"""The backoff grows to its maximum and no further."""

import unittest
from random import Random

from linnetwood.core.backoff import pause_s


class BackoffTest(unittest.TestCase):
    """Compute pauses after few and after very many failures."""

    def test_pauses(self) -> None:
        """Each lies between half of the ceiling and the ceiling."""
        cases = ((0, 0.1), (1, 0.2), (2, 0.4), (9, 0.8), (5000, 0.8))
        for failures, ceiling in cases:
            with self.subTest(failures=failures):
                found = pause_s(failures, Random(1), 0.1, 0.8, 0.5)
                self.assertTrue(ceiling / 2 <= found <= ceiling)


if __name__ == '__main__':
    unittest.main()
