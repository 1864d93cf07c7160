"""The second review's scripts as tests; not part of the default run."""

import pathlib
import subprocess
import unittest

_FOLDER = pathlib.Path(__file__).resolve().parent
_LIMIT_S = 125
_COULD_NOT_RUN = 2


class ReviewTest(unittest.TestCase):
    """Each test runs one script, which exits with 0 if its rule held."""

    def test_4(self) -> None:
        """MIXED: half an answer after a cut and a server's crash."""
        self._play('4')

    def test_5(self) -> None:
        """VERSION: a stream that may not be resumed waits past the bound."""
        self._play('5')

    def _play(self, case: str) -> None:
        script = _FOLDER / case / 'run.sh'
        found = subprocess.run(
            ('sh', str(script)),
            capture_output=True,
            text=True,
            timeout=_LIMIT_S,
            check=False,
        )
        if found.returncode == _COULD_NOT_RUN:
            self.skipTest(found.stdout)
        self.assertEqual(found.returncode, 0, found.stdout)
