"""Records that another writer spoilt, and what an entry does beside them."""

import json
import unittest
from typing import Any
from unittest import mock

from linnetwood.core import failures
from linnetwood.core.clock import SystemClock
from linnetwood.core.events import Event
from linnetwood.fleet.ranges import Change, Record, Snapshot
from linnetwood.platform import records
from linnetwood.platform.feeds import StoreFeed
from linnetwood.programs.resident_entry import ResidentEntry
from linnetwood.wire import codec
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
        self.logged: list[dict[str, Any]] = []
        patched = mock.patch.object(failures, 'log', self.note)
        patched.start()
        self.addCleanup(patched.stop)

    def note(self, event: Event, **fields: Any) -> None:
        """Record a log line."""
        self.logged.append({'event': event, **fields})

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

    async def test_models_of_a_configuration(self) -> None:
        """Guards against an entry that hears no engine beside spoilt text."""
        models = [{'name': UNENCODABLE}, {'name': 'm'}]
        pool = {'name': 'pool', 'engine': {**ENGINE, 'models': models}}
        said = {**CONFIG, 'services': [pool, {'name': 'desk'}]}
        self.feed.apply_changes(
            (
                Change(records.CONFIG_KEY, record(said, 1)),
                Change(SERVED, record(ENTRY, 2)),
            )
        )
        self.assertEqual(self.entry.route_table.version, 7)
        news = mock.Mock()
        self.entry.reports.subscriptions.send(
            self.entry.route_table, 0, news, 1
        )
        sent = news.send.call_args.args[0]
        self.assertTrue(codec.encode(sent))
        self.assertEqual({one.model for one in sent.entry.wanted}, {'m'})

    async def test_figures_of_any_size(self) -> None:
        """Guards against an entry that hears no engine under large figures."""
        large = 1 << 40
        engine = {**ENGINE, 'chunks': large, 'chunk_bytes': large}
        said = {
            **CONFIG,
            'services': [
                {'name': 'pool', 'engine': engine},
                {'name': 'desk'},
                {'name': 'w', 'origin': '10.0.0.9:80', 'link_mbps': 25000},
            ],
        }
        self.feed.apply_changes(
            (
                Change(records.CONFIG_KEY, record(said, 1)),
                Change(SERVED, record(ENTRY, 2)),
            )
        )
        self.assertEqual(self.entry.route_table.version, 7)
        news = mock.Mock()
        self.entry.reports.subscriptions.send(
            self.entry.route_table, 0, news, 1
        )
        for sent in news.send.call_args_list:
            self.assertTrue(codec.encode(sent.args[0]))
        self.assertTrue(news.send.call_args_list)

    async def test_a_first_configuration_that_is_spoilt(self) -> None:
        """Guards against final refusals by an entry that knows no route."""
        spoilt = Record(b'', 3)
        self.feed.replace_all(Snapshot({records.CONFIG_KEY: spoilt}, 3))
        self.entry._follower.confirmed_at = SystemClock().now()
        self.assertTrue(self.entry.delegate.config_basis().is_stale)
        self.feed.apply_changes((self.config(7, 4),))
        self.assertFalse(self.entry.delegate.config_basis().is_stale)

    async def test_an_error_keeps_back_no_other_record(self) -> None:
        """Guards against a configuration lost to an error at an endpoint."""
        endpoint = Change(SERVED, record(ENTRY, 1))
        other = Change('servers/i-3', record(ENTRY, 2))
        with mock.patch.object(
            self.entry.directory, 'update', self.fail_for('i-1')
        ):
            self.feed.apply_changes((endpoint, other, self.config(7, 3)))
        self.assertEqual(self.entry.route_table.version, 7)
        self.assertEqual(self.applied, ['i-3'])
        self.assertEqual(
            {line['event'] for line in self.logged}, {Event.TASK_FAILED}
        )

    async def test_an_error_in_a_whole_range(self) -> None:
        """Guards against endpoints lost to an error at the configuration."""
        held = {
            SERVED: record(ENTRY, 1),
            'servers/i-3': record(ENTRY, 2),
        }
        config = self.config(7, 3)
        assert config.record is not None
        held[config.key] = config.record
        with (
            mock.patch.object(
                self.entry.directory, 'replace_all', side_effect=KeyError
            ),
            mock.patch.object(
                self.entry._callers, 'set_limits', side_effect=KeyError
            ),
        ):
            self.feed.replace_all(Snapshot(held, 3))
        self.assertEqual(self.entry.route_table.version, 7)
        self.assertIsNotNone(self.entry.directory.get('i-1'))
        self.assertIsNotNone(self.entry.directory.get('i-3'))

    async def test_ages_after_an_error_in_a_whole_range(self) -> None:
        """Guards against a version that counts as named later than it was."""
        found = {
            'op/version/m-1': record({'model': 'm-1', 'version': 2}, 1),
            SERVED: record({**ENTRY, 'cold_remaining_ms': 9000}, 2),
        }
        config = self.config(7, 3)
        assert config.record is not None
        found[config.key] = config.record
        with (
            mock.patch.object(
                self.entry.directory, 'replace_all', side_effect=KeyError
            ),
            mock.patch.object(
                self.entry._callers, 'set_limits', side_effect=KeyError
            ),
        ):
            self.feed.replace_all(Snapshot(found, 3))
        self.assertEqual(self.entry.wanted._guessed, {('m-1', 2)})
        endpoint = self.entry.directory.get('i-1')
        assert endpoint is not None
        now = SystemClock().now()
        self.assertGreater(self.entry.directory.cold_left_s(endpoint, now), 0)

    async def test_an_error_at_a_retained_record(self) -> None:
        """Guards against a range that is read without end after a restore."""
        named = record({'model': 'm-1', 'version': 2}, 1)
        assert isinstance(self.feed, StoreFeed)
        with mock.patch.object(
            self.entry._callers, 'set_limits', side_effect=KeyError
        ):
            self.feed.apply_retained(
                (self.config(7, 3), Change('op/version/m-1', named))
            )
        self.assertEqual(self.entry.wanted.newest('m-1'), 2)
        self.assertEqual(self.logged[0]['event'], Event.TASK_FAILED)

    def fail_for(self, endpoint_id: str) -> Any:
        """Return a function that raises for one endpoint."""
        self.applied: list[str] = []

        def update(endpoint: Any) -> None:
            if endpoint.endpoint_id == endpoint_id:
                raise ZeroDivisionError
            self.applied.append(endpoint.endpoint_id)

        return update


if __name__ == '__main__':
    unittest.main()
