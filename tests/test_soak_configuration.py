"""Test the checks of configurations on histories."""

import dataclasses
import math
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
    HOST,
    KEY,
    SENT,
    AckedWrite,
    Call,
    CallKind,
    FaultRecord,
    History,
    Run,
)
from linnetwood.lab.soak.limits import STRICT, USUAL, Limits
from linnetwood.lab.soak.movedroutes import (
    PLAIN_SERVICES,
    Target,
    service_of,
    targets,
)

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


def violates(history: History, limits: Limits = USUAL) -> bool:
    """Return whether a history violates the rule on configurations."""
    found = Checker(history, limits).violations()
    return any(one.startswith('CONFIG') for one in found)


def probed(target: Target, service: str, **changed: Any) -> History:
    """Return a probe of a moved route, and its run by a service, if any."""
    call = dataclasses.replace(
        PROBE, path=target.path, host=target.host, **changed
    )
    run = dataclasses.replace(RUN, service=service)
    return History([call], [run] if service else [])


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

    # Guards against probes that no later configuration would judge.
    def test_moved_routes(self) -> None:
        """A variant with moves has them; each target goes from one to next."""
        made = configuration(8, '127.0.0.1:1', Variant(moves=True))
        routes = made['routes']
        services = made['services']
        assert isinstance(routes, list) and isinstance(services, list)
        moved = {
            (one['host'], one['path_prefix']): one['service']
            for one in routes
            if one['path_prefix'].startswith('/move-')
        }
        self.assertEqual(moved[HOST, '/move-0/'], 'counter')
        names = {one['name'] for one in services}
        self.assertLessEqual(set(PLAIN_SERVICES), names)
        for target in targets():
            served = {service_of(target, number) for number in range(1, 43)}
            with self.subTest(target=target):
                self.assertIn('', served)
                self.assertGreater(len(served), 1)


class MovedRouteTest(unittest.TestCase):
    """Check calls on routes that move between services that have servers.

    In the first group 7 has the route to desk, 8 to counter, 9 a longer one to
    annex beside it, 10 only the longer one, to desk, 11 the short one at
    another host, 12 none, 13 the short one to annex again.
    """

    def check(
        self, *cases: tuple[str, History, bool], limits: Limits = USUAL
    ) -> None:
        """Check that exactly the broken histories are violations."""
        found = {name: violates(one, limits) for name, one, _ in cases}
        self.assertEqual(found, {name: broken for name, _, broken in cases})

    # Guards against a run by the service that a route has left, long after the
    # configuration that moved it was acknowledged.
    def test_old_service(self) -> None:
        """It is found at each kind of move, answered or not."""
        short, longer = '/move-0/x', '/move-0/a/x'
        other = Target('moved.example', short)
        cases = []
        for name, target, acked, service, broken in (
            ('as it was', Target(HOST, short), 7, 'desk', False),
            ('moved', Target(HOST, short), 8, 'counter', False),
            ('moved, old', Target(HOST, short), 8, 'desk', True),
            ('longer', Target(HOST, longer), 9, 'annex', False),
            ('longer, old', Target(HOST, longer), 9, 'counter', True),
            ('beside a longer one', Target(HOST, short), 9, 'counter', False),
            ('short one dropped', Target(HOST, short), 10, 'counter', True),
            ('longer moved', Target(HOST, longer), 10, 'desk', False),
            ('longer moved, old', Target(HOST, longer), 10, 'annex', True),
            ('another host', other, 11, 'counter', False),
            ('another host, old', Target(HOST, short), 11, 'counter', True),
            ('dropped', other, 12, 'counter', True),
            ('added again', Target(HOST, short), 13, 'annex', False),
            ('added again, old', Target(HOST, short), 13, 'desk', True),
        ):
            for answer in ({}, SILENT):
                history = probed(target, service, **answer)
                history.acked = [config(acked)]
                cases.append((f'{name} {answer}', history, broken))
        self.check(*cases)

    # Guards against a route that is added again and still refused.
    def test_refused(self) -> None:
        """Only refusals of what all due ones have count."""
        cases = []
        for name, status, acked, broken in (
            ('not found', 404, 13, True),
            ('wrong key', 401, 13, True),
            ('forbidden', 403, 13, True),
            ('not served', 503, 13, False),
            ('dropped', 404, 12, False),
        ):
            history = probed(Target(HOST, '/move-0/x'), '', status=status)
            history.acked = [config(acked)]
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against a check that blames what a newer configuration allows, or
    # excuses what is due.
    def test_bound(self) -> None:
        """What was sent since may be in force, answered or not."""
        sent = AckedWrite(SENT, '', 14, math.inf, LATE)
        unsent = AckedWrite('config', '', 14, LATE + 2, LATE + 0.2)
        cases = []
        for name, acked, broken in (
            ('due', [config(8, LATE - 4.1)], True),
            ('not due', [config(7), config(8, LATE - 3.9)], False),
            ('newer', [config(8), config(14, LATE)], False),
            ('newer, not answered', [config(8), sent], False),
            ('newer, sent later', [config(8), unsent], True),
        ):
            history = probed(Target(HOST, '/move-0/x'), 'desk')
            history.acked = acked
            cases.append((name, history, broken))
        self.check(*cases)
        history = probed(Target(HOST, '/move-0/x'), 'desk')
        history.acked = [config(7), config(8, LATE - 2.1)]
        self.check(('strict', history, True), limits=STRICT)

    # Guards against excuses that the rules do not give.
    def test_excuses(self) -> None:
        """Faults excuse for three seconds, an unstable store extends."""
        any_fault = FaultRecord('any', AT, LATE - 2.9, 'e')
        long_ago = FaultRecord('any', AT, LATE - 3.1, 'e')
        elsewhere = FaultRecord('any', AT, LATE, 'f')
        deaf = FaultRecord('store deaf', AT, LATE - 1)
        cases = []
        for name, acked_at, faults, broken in (
            ('none', AT, [], True),
            ('out of touch', AT, [any_fault], False),
            ('in touch again', AT, [long_ago], True),
            ('another entry', AT, [elsewhere], True),
            ('unstable', AT, [deaf], False),
            ('unstable for long', LATE - 9.1, [deaf], True),
            ('unstable, and down', LATE - 9.1, [deaf, any_fault], False),
        ):
            history = probed(Target(HOST, '/move-0/x'), 'desk')
            history.acked = [config(8, acked_at)]
            history.troubles = faults
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against an entry that goes back to the service before.
    def test_regressions(self) -> None:
        """What a server saw the effect of stays in force for a life."""
        kill = FaultRecord('kill entry', LATE - 0.7, LATE - 0.6, 'e')
        cases = []
        for name, entry, seen_at, faults, broken in (
            ('later', 'e', LATE - 2.1, [], True),
            ('soon', 'e', LATE - 1.9, [], False),
            ('another entry', 'f', LATE - 2.1, [], False),
            ('another life', 'e', LATE - 2.1, [kill], False),
        ):
            history = probed(Target(HOST, '/move-0/x'), 'desk')
            seen = dataclasses.replace(
                PROBE, call_id='d', probes=8, entry=entry, sent_at=seen_at
            )
            history.calls.append(seen)
            history.runs.append(
                dataclasses.replace(RUN, call_id='d', at=seen_at)
            )
            # It is not acknowledged, so that it is not due.
            history.acked = [AckedWrite(SENT, '', 8, math.inf, AT)]
            history.troubles = faults
            cases.append((name, history, broken))
        self.check(*cases)

    # Guards against moved routes that nobody serves.
    def test_served_shares(self) -> None:
        """Their calls count with those on added routes."""
        first = dataclasses.replace(PROBE, path='/lookup/x')
        for served, broken in ((5, False), (4, True)):
            moved = dataclasses.replace(PROBE, path='/move-0/x')
            history = History(calls(moved, 20, served, status=503))
            history.calls += calls(first, 20)
            history.acked = [config(8)]
            with self.subTest(served=served):
                self.assertEqual(violates(history), broken)


if __name__ == '__main__':
    unittest.main()
