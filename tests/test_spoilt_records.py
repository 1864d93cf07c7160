"""Records that another writer spoilt, and what an entry does beside them."""

import json
import unittest
from typing import Any
from unittest import mock

from linnetwood.fleet.ranges import Change, Record
from linnetwood.platform import records
from linnetwood.programs.resident_entry import ResidentEntry
from tests.process_settings import process_settings
from tests.test_configuration_cases import CONFIG, ENGINE
from tests.test_junk import ENTRY

# Half of a surrogate pair is text in JSON, but can't be encoded.
UNENCODABLE = '\ud800'
SERVED = 'servers/i-1'
SPOILT = 'servers/i-2'


def record(said: object, revision: int) -> Record:
    """Return a record with an encoded value."""
    return Record(json.dumps(said).encode(), revision)


def spoilt_endpoints() -> list[dict[str, Any]]:
    """Return records of an engine, each with another spoilt field."""
    return [
        {**ENTRY, 'zone': UNENCODABLE},
        {**ENTRY, 'service': UNENCODABLE},
        {**ENTRY, 'models': [{'name': UNENCODABLE, 'version': 1}]},
    ]


class SpoiltRecordTest(unittest.IsolatedAsyncioTestCase):
    """Feed an entry with sound and spoilt records."""

    async def asyncSetUp(self) -> None:
        self.entry = ResidentEntry(process_settings())
        self.addCleanup(self.entry.driver.close)
        self.feed = self.entry._follower._sink

    def config(self, version: int, revision: int) -> Change:
        """Return a configuration with engines."""
        engines = [{'name': 'pool', 'engine': ENGINE}, {'name': 'desk'}]
        said = {**CONFIG, 'version': version, 'services': engines}
        return Change(records.CONFIG_KEY, record(said, revision))

    async def test_reports_are_subscribed_to(self) -> None:
        """Guards against an entry that hears no engine beside spoilt text."""
        self.feed.apply_changes(
            (self.config(7, 1), Change(SERVED, record(ENTRY, 2)))
        )
        for revision, said in enumerate(spoilt_endpoints(), 3):
            with self.subTest(said=said):
                self.feed.apply_changes(
                    (Change(SPOILT, record(said, revision)),)
                )
                subscriptions = self.entry.reports.subscriptions
                subscriptions.has_changed(self.entry.route_table)
                news = mock.Mock()
                subscriptions.send(self.entry.route_table, 0, news, 1)
                for sent in news.send.call_args_list:
                    sent.args[0].validate()
                self.assertIsNone(self.entry.directory.get('i-2'))
                self.assertIsNotNone(self.entry.directory.get('i-1'))

    async def test_a_named_version_with_spoilt_text(self) -> None:
        """Guards against a version that no message can name."""
        said = {'model': UNENCODABLE, 'version': 2}
        self.feed.apply_changes((Change('op/version/m', record(said, 1)),))
        self.assertEqual(self.entry.wanted.versions_by_model(), {})


if __name__ == '__main__':
    unittest.main()
