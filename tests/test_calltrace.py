"""Answered calls that are logged, as their configuration may matter."""

import dataclasses
import unittest
from typing import Any

from linnetwood.calls import calltrace
from linnetwood.calls.calltrace import (
    MAX_TRACES_PER_S,
    RECENT_S,
    CallTraces,
)
from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.routetable import Service
from linnetwood.calls.tablechanges import TableChanges, compare_tables
from linnetwood.core.events import Event, log
from linnetwood.core.logformat import line_formatter
from tests.test_tablechanges import AFTER, BEFORE, route

ADOPTED_AT = 50.0
FRESH = ConfigBasis(7, 5, 1500, 250, 'relay', is_stale=False)


def call_at(prefix: str, path: str, key: str = 'k1') -> DirectCall:
    """Return a call that a route places, on a fresh view."""
    return DirectCall(
        CallHead('f8a8b707e706a86f', key=key),
        route(prefix),
        Service('desk', 1),
        None,
        'GET',
        path,
        [],
        b'',
        ADOPTED_AT - 1,
        ADOPTED_AT + 30,
        FRESH,
    )


class CallTracesTest(unittest.TestCase):
    """Answer calls around a change."""

    def setUp(self) -> None:
        self.traces = CallTraces()

    def adopt(self, at: float = ADOPTED_AT) -> None:
        """Put the second configuration in force."""
        self.traces.note_adopted(8, compare_tables(BEFORE, AFTER), at)

    def lines(self, call: DirectCall, at: float) -> list[dict[str, Any]]:
        """Let a call be answered; return its lines."""
        with self.assertLogs('linnetwood', 'INFO') as captured:
            log(Event.STARTED)
            self.traces.note_answered(call, at - 0.5, at)
        self.records = captured.records[1:]
        return [record.__dict__ for record in self.records]

    def test_calls_that_a_change_concerns(self) -> None:
        """Guards against a call on a dropped route that has no line."""
        self.adopt()
        cases: tuple[tuple[str, str, str, list[str]], ...] = (
            # By the route of the new table, and by that of the old one.
            ('/b/', '/b/c/x', 'k1', ['dropped']),
            ('/b/c/', '/b/c/x?q', 'k1', ['dropped']),
            ('/a/', '/a/x', 'k1', ['moved']),
            ('/b/', '/b/x', 'k1', []),
            ('/b/', '/b/x', 'k4', ['key-added']),
            # A route with a longer prefix stayed as it was.
            ('/a/b/', '/a/b/x', 'k1', []),
            # What a change names stands in the path only.
            ('/b/', '/b/?/b/c/', 'k1', []),
        )
        for prefix, path, key, codes in cases:
            with self.subTest(prefix=prefix, path=path, key=key):
                found = self.lines(call_at(prefix, path, key), ADOPTED_AT + 1)
                self.assertEqual([line['code'] for line in found], codes)

    def test_line_says_what_decided(self) -> None:
        """Guards against an answered call that no line explains."""
        self.adopt()
        line = self.lines(call_at('/a/', '/a/x'), ADOPTED_AT + 1)[0]
        self.assertEqual(line['event'], Event.CALL_TRACED)
        self.assertEqual((line['route'], line['service']), ('r/a/', 'desk'))
        self.assertEqual((line['config_version'], line['version_now']), (7, 8))
        self.assertEqual((line['store_age_ms'], line['took_ms']), (250, 2000))
        self.assertEqual(line['confirmed_by'], 'relay')
        self.assertEqual(line['decided_ms'], 1500)
        whole = line_formatter('frontend-mi-sala1-3').format(self.records[0])
        for text in ('"moved"', '"v7 r5.0 relay 250/1500"', '"desk"'):
            self.assertIn(text, whole[:200])

    def test_calls_without_a_reason_have_no_line(self) -> None:
        """Before any change, and once it is no longer recent."""
        call = call_at('/a/', '/a/x')
        self.assertEqual(self.lines(call, 1), [])
        self.adopt()
        self.assertEqual(len(self.lines(call, ADOPTED_AT + RECENT_S - 1)), 1)
        self.assertEqual(self.lines(call, ADOPTED_AT + RECENT_S), [])
        # A later change of another place does not extend it.
        other = compare_tables(AFTER, BEFORE)
        places = {('h.example', '/b/c/'): other.places['h.example', '/b/c/']}
        self.traces.note_adopted(9, TableChanges(places, {}), ADOPTED_AT + 9)
        self.assertEqual(self.lines(call, ADOPTED_AT + RECENT_S), [])
        dropped = call_at('/b/', '/b/c/x')
        self.assertEqual(len(self.lines(dropped, ADOPTED_AT + RECENT_S)), 1)

    def test_stale_view(self) -> None:
        """Guards against a call that an old view served without a line."""
        stale = dataclasses.replace(FRESH, store_age_ms=4000, is_stale=True)
        call = dataclasses.replace(call_at('/a/', '/a/x'), config_basis=stale)
        line = self.lines(call, 1)[0]
        self.assertEqual(
            (line['code'], line['store_age_ms']), ('stale-view', 4000)
        )

    def test_without_a_configuration(self) -> None:
        """A server that is not told of its configuration traces nothing."""
        call = dataclasses.replace(
            call_at('/a/', '/a/x'), config_basis=ConfigBasis()
        )
        self.assertEqual(self.lines(call, 1), [])

    def test_lines_are_bounded(self) -> None:
        """Guards against a log that traces fill; the rest is counted."""
        self.adopt()
        call = call_at('/a/', '/a/x')
        count = sum(
            len(self.lines(call, ADOPTED_AT + 1.5))
            for _ in range(MAX_TRACES_PER_S + 7)
        )
        self.assertEqual(count, MAX_TRACES_PER_S)
        line = self.lines(call, ADOPTED_AT + 2)[0]
        self.assertEqual(line['left_out'], 7)
        line = self.lines(call, ADOPTED_AT + 3)[0]
        self.assertEqual(line['left_out'], 0)

    def test_memory_is_bounded(self) -> None:
        """The oldest changes are dropped, and those that are not recent."""
        limit = calltrace._MAX_CHANGES
        places = {
            ('h.example', f'/{one}/'): 'moved' for one in range(limit + 9)
        }
        self.traces.note_adopted(9, TableChanges(places, {}), ADOPTED_AT)
        self.assertEqual(len(self.traces._places), limit)
        self.adopt(ADOPTED_AT + RECENT_S)
        self.assertEqual(len(self.traces._places), 4)


if __name__ == '__main__':
    unittest.main()
