"""A server that starts again under its id: nothing counts for the wrong life.

Load pattern: servers crash and start again within their lease, so that the list
never lacks them; reports, entries and answers of the life before arrive late,
and addresses are used again by others.
"""

import unittest
from random import Random

from linnetwood.calls.choice import Chooser, Requirements
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.reportintake import apply_report
from linnetwood.calls.routetable import Service

HISTORIES = 200
STEPS = 60
SERVERS = 3
SERVICE = Service(
    'pool',
    100,
    EngineProfile(
        slots=4,
        step_s=0.01,
        step_s_per_call=0,
        step_s_per_k_context=0,
        prefill_tokens_per_s=20000,
        attention_s_per_m_pairs=0,
        steps_per_pass=1,
        typical_prompt_tokens=100,
        typical_answer_tokens=10,
        kv_tokens=0,
        models=('m',),
        layers=1,
        chunks=1,
        chunk_bytes=1,
        report_lag_s=0,
        delays={},
    ),
)


class Server:
    """One id, its life, and what it holds in it."""

    def __init__(self, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self.born = 1000
        self.holds = 1

    def start_again(self, now: int, host: str) -> None:
        """Begin a life that holds nothing."""
        self.born = 1000 + now
        self.host = host
        self.holds = 0

    def entry(self) -> Endpoint:
        """Give what stands in the list."""
        versions = {'m': self.holds} if self.holds else {}
        return Endpoint(
            self.name,
            'pool',
            self.host,
            80,
            'z',
            4,
            ready=True,
            versions=versions,
            born=self.born,
        )


class History:
    """Servers, and an entry that hears of them late and out of order."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(seed))
        self.hosts = [f'10.0.0.{number}' for number in range(2 * SERVERS)]
        self.servers = [
            Server(f'i-{number}', self.hosts[number])
            for number in range(SERVERS)
        ]
        self.late: list[Endpoint] = [one.entry() for one in self.servers]
        self.reports: list[tuple[str, int, Report]] = []
        self.wrong: list[str] = []
        for one in self.late:
            self.directory.update(one)

    def play(self) -> list[str]:
        """Give what was counted for the wrong life."""
        for now in range(1, STEPS):
            act = self.rng.choice(
                (self._restart, self._bring, self._list, self._stale),
            )
            act(now)
            self._report(now)
            self._check(now)
        return self.wrong

    def _restart(self, now: int) -> None:
        one = self.rng.choice(self.servers)
        used = {other.host for other in self.servers if other is not one}
        free = [host for host in self.hosts if host not in used]
        one.start_again(now, self.rng.choice(free))

    def _bring(self, now: int) -> None:
        self.rng.choice(self.servers).holds = 1

    def _list(self, now: int) -> None:
        one = self.rng.choice(self.servers).entry()
        self.late.append(one)
        self.directory.update(one)

    def _stale(self, now: int) -> None:
        """Let an entry that was written before arrive once more."""
        self.directory.update(self.rng.choice(self.late))

    def _report(self, now: int) -> None:
        for one in self.servers:
            report = Report(9, 9, one.holds, changing=False, received_at=now)
            self.reports.append((one.host, one.born, report))
        for host, born, report in self.rng.sample(self.reports, 2):
            apply_report(self.directory, self.chooser, host, born, report)

    def _check(self, now: int) -> None:
        self._check_choice(now)
        newest = {one.name: one.born for one in self.servers}
        for listed in self.directory.all():
            known = self.chooser.stats_of(listed.incarnation_id).report
            incarnation_ids = [
                born for _, born, report in self.reports if report is known
            ]
            if known is not None and incarnation_ids != [listed.born]:
                self.wrong.append(
                    f'{now}: report of {incarnation_ids} for {listed}'
                )
            if listed.born > newest[listed.endpoint_id]:
                self.wrong.append(f'{now}: {listed} is yet to come')

    def _check_choice(self, now: int) -> None:
        """Nothing goes to a life that is known to hold nothing."""
        requirements = Requirements(SERVICE, 'z', 10, 'm', 1)
        choice = self.chooser.choose(requirements, (), now)
        if choice is None:
            return
        listed = choice.endpoint
        told = [
            one
            for one in self.late
            if one.incarnation_id == listed.incarnation_id
        ]
        heard = [
            report.serving
            for _, born, report in self.reports
            if born == listed.born
        ]
        if not any(one.versions for one in told) and not any(heard):
            self.wrong.append(f'{now}: {listed} never held anything')


class LivesTest(unittest.TestCase):
    """Tell lives apart wherever something is kept."""

    def test_histories(self) -> None:
        """Two hundred of them, with late reports, stale reads, reuse."""
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self.assertEqual(History(seed).play(), [])

    def test_a_new_life_begins_with_nothing_against_it(self) -> None:
        """Suspicion and load of the life before are left behind."""
        directory = Directory()
        chooser = Chooser(directory, Random(1))
        server = Server('i', '10.0.0.1')
        directory.update(server.entry())
        before = chooser.stats_of(server.entry().incarnation_id)
        before.record_sent()
        before.record_unreachable(1)
        server.start_again(5, '10.0.0.1')
        directory.update(server.entry())
        after = chooser.stats_of(server.entry().incarnation_id)
        self.assertIsNot(after, before)
        self.assertEqual((after.in_flight, after.failure_rate), (0, 0))
        # A call of the life before ends there, and is forgotten with it.
        before.record_ended()
        chooser.forget_unlisted(2)
        self.assertEqual(list(chooser.stats), [server.entry().incarnation_id])

    def test_an_older_life_changes_nothing(self) -> None:
        """Neither as a late entry nor after the newer one has gone."""
        directory = Directory()
        server = Server('i', '10.0.0.1')
        old = server.entry()
        server.start_again(5, '10.0.0.2')
        directory.update(server.entry())
        directory.update(old)
        self.assertEqual(directory.get('i'), server.entry())
        directory.mark_removed('i', 100)
        directory.update(old)
        self.assertIsNone(directory.get('i'))

    def test_an_address_that_was_left_belongs_to_the_next(self) -> None:
        """A report from there is not counted for who moved away."""
        directory = Directory()
        server = Server('i', '10.0.0.1')
        directory.update(server.entry())
        server.host = '10.0.0.2'
        directory.update(server.entry())
        self.assertIsNone(directory.at_host('10.0.0.1'))
        self.assertEqual(directory.at_host('10.0.0.2'), server.entry())

    def test_a_report_tells_of_a_new_life_first(self) -> None:
        """The list's word of what it holds is of the life before."""
        directory = Directory()
        chooser = Chooser(directory, Random(1))
        server = Server('i', '10.0.0.1')
        directory.update(server.entry())
        report = Report(0, 0, 0, changing=False, received_at=1)
        apply_report(directory, chooser, '10.0.0.1', 2000, report)
        requirements = Requirements(SERVICE, 'z', 10, 'm', 1)
        self.assertIsNone(chooser.choose(requirements, (), 1))


if __name__ == '__main__':
    unittest.main()
