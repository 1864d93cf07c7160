"""Settings files are rejected with file, line and field."""

import pathlib
import unittest

from linnetwood.core import settings
from linnetwood.core.errors import SettingsError
from linnetwood.core.options import EndpointOptions, EntryOptions

ROOT = pathlib.Path(__file__).resolve().parent.parent
GOOD = """place:
  vm: e1
  availability_zone: a
  region: r
  host: 127.0.0.1
  wire_port: 7000
platform:
  kv_url: http://127.0.0.1:1
trust: {mode: plain}
http_port: 8000
operators_port: 7700
"""


class SettingsTest(unittest.TestCase):
    """Valid files load; each kind of invalid file is rejected."""

    def test_examples_load(self) -> None:
        """The commented examples are valid settings."""
        cases = (
            ('entry.yaml', EntryOptions),
            ('endpoint.yaml', EndpointOptions),
        )
        for name, options in cases:
            with self.subTest(name):
                path = str(ROOT / 'examples' / name)
                self.assertIsInstance(settings.load(options, path), options)

    def test_defaults(self) -> None:
        """Fields that are not given have the documented default."""
        cfg = settings.parse(EntryOptions, GOOD, 'f')
        self.assertEqual((cfg.queue_limit, cfg.routing), (256, 'probing'))

    def test_refusals(self) -> None:
        """Each error for settings in docs/REFUSALS.md occurs."""
        cases = (
            ('', 'settings-empty'),
            ('a: [', 'settings-not-yaml'),
            ('- 1', 'f:1: field the file: found .* allowed is a mapping'),
            (f'{GOOD}speed: 3\n', 'f:12: .*found .speed., allowed is one of'),
            (f'{GOOD}http_port: 1\n', 'f:12: field http_port.*each field once'),
            (
                GOOD.replace('8000', 'many'),
                "f:10: field http_port: found 'many', allowed is a whole",
            ),
            (
                GOOD.replace('8000', '70000'),
                "f:10: field http_port: found '70000', allowed is at most",
            ),
            (GOOD.replace('8000', '-1'), 'allowed is at least 0'),
            (GOOD.replace('8000', 'true'), 'allowed is a whole number'),
            (
                f'{GOOD}routing: best\n',
                "f:12: field routing: found 'best', allowed is one of",
            ),
            (
                GOOD.replace('  vm: e1\n', ''),
                'f:2: field vm: found nothing, it must be given',
            ),
            (
                GOOD.replace('trust: {mode: plain}\n', ''),
                'f:1: field trust: found nothing, it must be given',
            ),
            (f'{GOOD}peers: x\n', 'field peers: .*allowed is a list'),
            (f'{GOOD}peers: [1]\n', "field peers: found '1', allowed is text"),
        )
        for text, message in cases:
            with (
                self.subTest(message),
                self.assertRaisesRegex(SettingsError, message),
            ):
                settings.parse(EntryOptions, text, 'f')

    def test_missing_file(self) -> None:
        """The error names a file that can't be read."""
        with self.assertRaisesRegex(SettingsError, 'settings-unreadable.*/no/'):
            settings.load(EntryOptions, '/no/such')


if __name__ == '__main__':
    unittest.main()
