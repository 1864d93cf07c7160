"""Test the checks of configurations on histories."""

import dataclasses
import unittest
from typing import Any

from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.configuration import (
    KEPT_ROUTES,
    Variant,
    configuration,
    numbered_key,
)
from linnetwood.lab.soak.history import (
    KEY,
    AckedWrite,
    Call,
    CallKind,
    FaultRecord,
    History,
    Run,
)
from linnetwood.lab.soak.limits import Limits

AT = 1000.0
LATE = AT + 5
PROBE = Call(
    'c', CallKind.IDEMPOTENT, 'e', '/only-5/x', LATE, 4, 200, LATE + 0.1
)
BY_KEY = dataclasses.replace(PROBE, path='/lookup/x', key=numbered_key(5))
RUN = Run('c', 'i', 'desk', LATE, 0, 4000, 's', ended_at=LATE + 0.1)
SILENT: dict[str, Any] = {'status': 0, 'ended_at': LATE + 4}


def config(number: int, at: float = AT) -> AckedWrite:
    """Return the write of a configuration that was acknowledged."""
    return AckedWrite('config', '', number, at, at)


def calls(
    call: Call, count: int, served: int = 0, **changed: Any
) -> list[Call]:
    """Return copies of a call; the first ones are served."""
    made = []
    for number in range(count):
        one = dataclasses.replace(call, call_id=f'{call.path}{number}')
        for field, wanted in changed.items() if number >= served else ():
            setattr(one, field, wanted)
        made.append(one)
    return made


def violates(history: History) -> bool:
    """Return whether a history violates the rule on configurations."""
    found = Checker(history, Limits()).violations()
    return any(one.startswith('CONFIG') for one in found)


class ConfigurationCheckTest(unittest.TestCase):
    """Check sound and broken histories of each kind."""

    def check(self, *cases: tuple[str, History, bool]) -> None:
        """Check that exactly the broken histories are violations."""
        found = {name: violates(history) for name, history, _ in cases}
        self.assertEqual(found, {name: broken for name, _, broken in cases})

    # Guards against a refusal of what is due, and a run of what was dropped,
    # that go unseen.
    def test_late(self) -> None:
        """Due routes and keys are known, and dropped ones are not."""

        def late(call: Call, acked: int, *runs: Run, **changed: Any) -> History:
            changed = {'probes': 5, 'status': 200, **changed}
            made = calls(call, 1, **changed)
            return History(
                made,
                [
                    dataclasses.replace(run, call_id=made[0].call_id)
                    for run in runs
                ],
                acked=[config(acked)],
            )

        no_answer = {**SILENT}
        soon = {'sent_at': AT + 3.9, 'status': 404}
        self.check(
            ('served', late(PROBE, 5, RUN), False),
            ('404', late(PROBE, 5, status=404), True),
            ('401', late(BY_KEY, 5, status=401), True),
            ('403', late(BY_KEY, 5, status=403), True),
            ('503', late(PROBE, 5, status=503), False),
            ('before it is due', late(PROBE, 5, **soon), False),
            ('dropped', late(PROBE, 9, status=404), False),
            ('dropped, served', late(PROBE, 9), True),
            ('dropped, run', late(PROBE, 9, RUN, **no_answer), True),
            ('dropped key, run', late(BY_KEY, 9, RUN, **no_answer), True),
            ('kept, run', late(PROBE, 8, RUN, **no_answer), False),
        )

    # Guards against an entry out of touch that counts, and against one that
    # is excused since its own event loop stands still.
    def test_in_touch(self) -> None:
        """Only faults of the last three seconds excuse an entry."""
        cases = []
        for name, fault, broken in (
            ('just before', FaultRecord('any', AT, LATE - 2.9, 'e'), False),
            ('long before', FaultRecord('any', AT, LATE - 3.1, 'e'), True),
            ('meanwhile', FaultRecord('any', LATE, LATE + 0.1, 'e'), False),
            ('later', FaultRecord('any', LATE + 0.2, LATE + 1, 'e'), True),
            ('of another', FaultRecord('any', AT, LATE, 'f'), True),
        ):
            history = History(calls(PROBE, 1, probes=5, status=404))
            history.acked = [config(5)]
            history.troubles = [fault]
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against an added route that is answered with 503, or not at all.
    def test_added_routes(self) -> None:
        """They are served a quarter as often as the first routes, or more."""
        cases = []
        first = dataclasses.replace(PROBE, path='/lookup/x')
        for name, count, served, first_served, changed, broken in (
            ('all', 20, 20, 20, {}, False),
            ('a quarter', 20, 5, 20, {'status': 503}, False),
            ('fewer', 20, 4, 20, {'status': 503}, True),
            ('no answer', 20, 4, 20, SILENT, True),
            ('too few', 19, 0, 20, {'status': 503}, False),
            ('neither', 20, 0, 0, {'status': 503}, False),
        ):
            route = dataclasses.replace(PROBE, path='/only-6/x', probes=6)
            added = calls(route, count, served, **changed)
            others = calls(first, 20, first_served, status=503)
            history = History([*added, *others], acked=[config(6)])
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against an entry that forgets a configuration within its life.
    def test_regressions(self) -> None:
        """What a server saw the effect of stays in force."""
        cases = []
        seen = dataclasses.replace(PROBE, probes=5)
        later = LATE + 3
        kill = FaultRecord('kill entry', LATE + 1, LATE + 1.5, 'e')
        freeze = FaultRecord('pause entry', LATE + 1, LATE + 1.5, 'e')
        for name, entry, probed, status, sent_at, faults, broken in (
            ('404', 'e', 5, 404, later, (), True),
            ('older', 'e', 4, 404, later, (), True),
            ('newer', 'e', 6, 404, later, (), False),
            ('dropped', 'e', 1, 404, later, (), False),
            ('dropped, run', 'e', 1, 200, later, (), True),
            ('soon', 'e', 5, 404, LATE + 1.9, (), False),
            ('another entry', 'f', 5, 404, later, (), False),
            ('another life', 'e', 5, 404, later, (kill,), False),
            ('slowed', 'e', 5, 404, later, (freeze,), False),
            ('slowed, long after', 'e', 5, 404, LATE + 17, (freeze,), True),
        ):
            call = Call(
                'd',
                CallKind.IDEMPOTENT,
                entry,
                f'/only-{probed}/x',
                sent_at,
                4,
                status,
                sent_at + 0.1,
                probes=probed,
            )
            history = History([seen, call], [RUN])
            # It is not acknowledged, so that it is not due.
            history.troubles = list(faults)
            history.acked = [config(4, later + 60)]
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against calls that wait beyond the timeout of their route.
    def test_timeouts(self) -> None:
        """A quarter of the late calls, or seven, may go unanswered."""
        cases = []
        for name, unanswered, answered_s, changed, broken in (
            ('seven', 7, 1.6, {}, False),
            ('eight', 8, 1.6, {}, True),
            ('in time', 0, 1.9, {}, False),
            ('answered late', 0, 2.1, {'status': 504}, True),
            ('given up before', 8, 1.6, {'ended_at': LATE + 1.4}, False),
            ('a longer timeout', 8, 1.6, {'path': '/only-6/x'}, False),
        ):
            made = calls(PROBE, unanswered, **{**SILENT, **changed})
            made += calls(PROBE, 23, status=504, ended_at=LATE + answered_s)
            cases.append((name, History(made), broken))
        many = calls(PROBE, 8, **SILENT) + calls(
            PROBE, 24, status=504, ended_at=LATE + 1.6
        )
        cases.append(('a quarter', History(many), False))
        self.check(*cases)

    # Guards against probes whose keys and routes no configuration has.
    def test_configurations(self) -> None:
        """Each has its own route and key, and those of a few before."""
        made = configuration(9, '127.0.0.1:1', Variant())
        kept = range(9 - KEPT_ROUTES, 10)
        self.assertEqual(
            made['tenants'][0]['api_keys'],  # type: ignore[index]
            [KEY, *(numbered_key(one) for one in kept)],
        )
        routes = made['routes']
        assert isinstance(routes, list)
        timeouts = {one['name']: one['timeout_ms'] for one in routes}
        self.assertEqual(timeouts['/only-9/'], 1500)
        self.assertEqual(timeouts['/only-6/'], 6000)


if __name__ == '__main__':
    unittest.main()
