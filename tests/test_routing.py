"""Which endpoint a call is sent to, and how retries are bounded."""

import unittest
from random import Random

from linnetwood.calls.retries import RetryBudget, may_retry
from linnetwood.calls.routing import (
    POLICIES,
    EndpointQuery,
    Load,
    Policy,
    Routes,
)
from linnetwood.core.outcomes import Code, Ending, Outcome, not_run, unknown
from linnetwood.fleet.members import Health, copy
from linnetwood.gen.schema.ttypes import Deployment, Intent, Model, Version
from linnetwood.gen.wire.ttypes import Member
from tests.test_membership import member

QUERY = EndpointQuery('engine', model='m')


def engine(vm: str, serving: str = 'm@v1', **fields: int) -> Member:
    """Return an engine that serves a version."""
    return copy(
        member(vm),
        kind='engine',
        serving=serving,
        slots=10,
        **fields,
    )


def routes(*members: Member, policy: str = 'least_known_load') -> Routes:
    """Return routes for a model whose intent goes from v1 to v2."""
    chosen: Policy = POLICIES[policy]()
    found = Routes('z', chosen, Random(1))
    versions = [
        Version(name=f'v{number}', manifest='x') for number in (1, 2, 3)
    ]
    found.apply_config(
        Deployment(
            models=[Model(name='m', versions=versions)],
            intents=[
                Intent(
                    model='m',
                    version='v2',
                    replicas=2,
                    previous_version='v1',
                ),
            ],
        ),
    )
    for known in members:
        found.member_changed(known)
    return found


class RoutesTest(unittest.TestCase):
    """Only eligible endpoints are chosen, the less loaded first."""

    def test_eligible_endpoints(self) -> None:
        """Endpoints that leave, are dead or lack the model are not chosen."""
        cases = (
            (engine('a'), True),
            (engine('a', 'm@v2'), True),
            (engine('a', ''), False),
            (engine('a', 'other@v1'), False),
            (engine('a', status=int(Health.LEAVING)), False),
            (engine('a', status=int(Health.DEAD)), False),
            (engine('a', status=int(Health.SUSPECT)), True),
        )
        for known, eligible in cases:
            with self.subTest(known.serving, status=known.status):
                found = routes(known).choose(QUERY, (), 0)
                self.assertEqual(found is not None, eligible)

    def test_versions_that_changed_too_fast(self) -> None:
        """A declared version is used if no wanted one is served."""
        found = routes(engine('a', 'm@v3'))
        self.assertIsNotNone(found.choose(QUERY, (), 0))
        found.member_changed(engine('b', 'm@v1'))
        chosen = found.choose(QUERY, (), 0)
        self.assertEqual(chosen.vm if chosen else '', 'b')

    def test_tried_suspect_and_remote_endpoints(self) -> None:
        """Tried ones are left out; alive ones of the same zone come first."""
        found = routes(
            engine('near'),
            copy(engine('far'), availability_zone='other'),
            engine('suspect', status=int(Health.SUSPECT)),
        )
        order: list[str] = []
        for _ in range(3):
            chosen = found.choose(QUERY, order, 0)
            order.append(chosen.vm if chosen else '')
        self.assertEqual(order, ['near', 'far', 'suspect'])

    def test_key_names_one_incarnation(self) -> None:
        """A key's owner is chosen only in the incarnation it names."""
        found = routes(engine('a', incarnation=2))
        for incarnation, eligible in ((2, True), (1, False)):
            query = EndpointQuery('engine', vm='a', incarnation=incarnation)
            with self.subTest(incarnation):
                self.assertEqual(
                    found.choose(query, (), 0) is not None, eligible
                )

    def test_slots(self) -> None:
        """Only endpoints that may get calls count as capacity."""
        found = routes(
            engine('a'),
            engine('b', status=int(Health.LEAVING)),
            engine('c', ''),
        )
        self.assertEqual(found.slots('m'), 10)

    def test_an_entry_keeps_to_its_share(self) -> None:
        """An endpoint with a full share comes after a healthy one with room.

        The reported loads suggest the opposite: they are old when they arrive.
        """
        cases: tuple[tuple[str, Member, dict[str, float], str], ...] = (
            ('healthy', engine('b'), {}, 'b'),
            ('suspect', engine('b', status=int(Health.SUSPECT)), {}, 'a'),
            ('failed', engine('b'), {'failed_at': 9.5}, 'a'),
            ('full', engine('b'), {'sent': 5}, 'a'),
        )
        for name, other, known, expected in cases:
            with self.subTest(name):
                found = routes(engine('a'), other)
                found.entry_count = 2
                found.load('a').sent = 5
                for field, setting in known.items():
                    setattr(found.load('b'), field, setting)
                found.load('a').record_report(0, 10)
                found.load('b').record_report(8, 10)
                chosen = found.choose(QUERY, (), 10)
                self.assertEqual(chosen.vm if chosen else '', expected)

    def test_reports_are_corrected_and_grow_old(self) -> None:
        """Calls sent since a report are added; an old report is ignored."""
        load = Load()
        load.sent = 1
        load.record_report(5, 10)
        load.sent = 3
        self.assertEqual([load.estimate(10.5), load.estimate(12)], [7, 3])


class RetriesTest(unittest.TestCase):
    """Retries are safe and bounded."""

    def test_when_safe(self) -> None:
        """Only calls that did not run, or may run again, are retried."""
        refused = not_run(Code.BUSY)
        lost = unknown(Code.CONNECTION_LOST)
        cases: tuple[tuple[Ending, bool, bool, bool], ...] = (
            (refused, False, False, True),
            (refused, True, False, True),
            (lost, True, False, True),
            (lost, False, False, False),
            (lost, True, True, False),
            (refused, True, True, False),
            (not_run(Code.LATE), True, False, False),
            (Ending(Outcome.ANSWERED), True, False, False),
        )
        for ending, may_repeat, begun, expected in cases:
            with self.subTest(ending.code, may_repeat=may_repeat, begun=begun):
                found = may_retry(ending, may_repeat=may_repeat, begun=begun)
                self.assertEqual(found, expected)

    def test_budget(self) -> None:
        """Over many calls no more than a tenth is retried."""
        budget = RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * 0.1 + 10)
        self.assertGreaterEqual(spent, 100)


if __name__ == '__main__':
    unittest.main()
