"""The scripts of the cases as tests; they are not part of the default run."""

import pathlib
import subprocess
import unittest

_FOLDER = pathlib.Path(__file__).resolve().parent
_LIMIT_S = 125
_COULD_NOT_RUN = 2


class ReviewTest(unittest.TestCase):
    """Each test runs one script, which exits with 0 if its rule held."""

    def test_1(self) -> None:
        """ORDER: a stream without a length from a server that leaves."""
        self._play('1')

    def test_2(self) -> None:
        """WHOLE: a freeze while staged pieces are checked."""
        self._play('2')

    def test_3(self) -> None:
        """RECOVER: spoilt manifests after a loss of power."""
        self._play('3')

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
