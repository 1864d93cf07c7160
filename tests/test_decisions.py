"""Decisions that can be exchanged: by name, checked, each with its ways."""

import dataclasses
import pathlib
import tempfile
import unittest
from random import Random

from linnetwood.calls.policy.returns import RETURNS, LastPart, SizedWindow
from linnetwood.core.errors import SettingsError
from linnetwood.core.options import Decisions
from linnetwood.programs.resident import read_decisions
from linnetwood.weights.takeover import TAKEOVERS
from linnetwood.weights.versionplan import PLANS

WAYS = {
    'returns': RETURNS,
    'takeover': TAKEOVERS,
    'version_plan': PLANS,
}


class SettingsTest(unittest.TestCase):
    """What the settings file of a resident process may say."""

    def read(self, text: str) -> Decisions:
        """Read a file that says this."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'decisions.yaml'
            path.write_text(text)
            return read_decisions([str(path)])

    def test_every_way_has_a_name_and_every_name_a_way(self) -> None:
        """Nothing is allowed that can't be had, and the other way round."""
        fields = {one.name: one for one in dataclasses.fields(Decisions)}
        self.assertEqual(fields.keys(), WAYS.keys())
        for name, ways in WAYS.items():
            with self.subTest(decision=name):
                allowed = fields[name].metadata['allowed']
                self.assertEqual(set(allowed), set(ways))
                self.assertGreaterEqual(len(ways), 2)

    def test_without_a_file(self) -> None:
        """The ways that were best."""
        self.assertEqual(read_decisions([]), Decisions())

    def test_a_file(self) -> None:
        """It names what differs."""
        found = self.read('returns: sized-window\n')
        self.assertEqual(found, Decisions(returns='sized-window'))

    def test_what_does_not_fit(self) -> None:
        """It is refused with a code, the field and what is allowed."""
        cases = (
            ('returns: never\n', 'settings-bad-field'),
            ('retuns: last-part\n', 'settings-bad-field'),
            ('', 'settings-empty'),
            ('{', 'settings-not-yaml'),
        )
        for text, code in cases:
            with self.subTest(text=text):
                with self.assertRaises(SettingsError) as caught:
                    self.read(text)
                self.assertEqual(caught.exception.code, code)

    def test_files_that_are_not_there_or_too_many(self) -> None:
        """Nothing starts on a guess."""
        for argv, code in (
            (['/nowhere/decisions.yaml'], 'settings-unreadable'),
            (['a', 'b'], 'settings-too-many'),
        ):
            with self.subTest(argv=argv):
                with self.assertRaises(SettingsError) as caught:
                    read_decisions(argv)
                self.assertEqual(caught.exception.code, code)


class ReturnsTest(unittest.TestCase):
    """When refused callers come back."""

    def test_nobody_is_told_to_wait_too_long(self) -> None:
        """A third of the time that is left, and not at once."""
        for make in RETURNS.values():
            returns = make(Random(1))
            for number in range(200):
                after_s = returns.after_s(6, number / 100)
                self.assertLessEqual(after_s, 2)
                self.assertGreaterEqual(after_s, 0.15)

    def test_a_window_as_long_as_the_crowd_needs(self) -> None:
        """Few come back soon; many over all that they wait."""
        few = SizedWindow(Random(1))
        many = SizedWindow(Random(1))
        for number in range(10):
            few.admitted(number / 100)
            many.admitted(number / 100)
        for number in range(20):
            many.after_s(6, 0.1 + number / 1000)
        soon = [few.after_s(6, 0.1) for _ in range(2)]
        later = [many.after_s(6, 0.2) for _ in range(40)]
        self.assertLess(max(soon), 1)
        self.assertGreater(max(later), 1.5)
        self.assertLess(min(later), 1)

    def test_the_last_part(self) -> None:
        """Whoever comes back is late anyway, and differs from others."""
        returns = LastPart(Random(1))
        found = [returns.after_s(6, 0) for _ in range(50)]
        self.assertGreaterEqual(min(found), 1.2)
        self.assertGreater(max(found) - min(found), 0.5)


if __name__ == '__main__':
    unittest.main()
