"""What an entry learns of endpoints is assigned to the right incarnation.

Load pattern: endpoints restart within their lease, so that the list never lacks
them. Reports, records and answers of the earlier incarnation arrive late, and
other endpoints reuse addresses.
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
    """One endpoint id, its incarnation, and the version that it holds."""

    def __init__(self, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self.born = 1000
        self.holds = 1

    def restart(self, now: int, host: str) -> None:
        """Start an incarnation that holds nothing."""
        self.born = 1000 + now
        self.host = host
        self.holds = 0

    def record(self) -> Endpoint:
        """Return its record in the list."""
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
    """Endpoints, and an entry that gets news of them late and out of order."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(seed))
        self.hosts = [f'10.0.0.{number}' for number in range(2 * SERVERS)]
        self.servers = [
            Server(f'i-{number}', self.hosts[number])
            for number in range(SERVERS)
        ]
        self.late: list[Endpoint] = [server.record() for server in self.servers]
        self.reports: list[tuple[str, int, Report]] = []
        self.wrong: list[str] = []
        for record in self.late:
            self.directory.update(record)

    def play(self) -> list[str]:
        """Return what was assigned to the wrong incarnation."""
        for now in range(1, STEPS):
            act = self.rng.choice(
                (self._restart, self._bring, self._list, self._stale),
            )
            act(now)
            self._report(now)
            self._check(now)
        return self.wrong

    def _restart(self, now: int) -> None:
        server = self.rng.choice(self.servers)
        used = {other.host for other in self.servers if other is not server}
        free = [host for host in self.hosts if host not in used]
        server.restart(now, self.rng.choice(free))

    def _bring(self, now: int) -> None:
        self.rng.choice(self.servers).holds = 1

    def _list(self, now: int) -> None:
        record = self.rng.choice(self.servers).record()
        self.late.append(record)
        self.directory.update(record)

    def _stale(self, now: int) -> None:
        """Let an earlier record arrive once more."""
        self.directory.update(self.rng.choice(self.late))

    def _report(self, now: int) -> None:
        for server in self.servers:
            report = Report(9, 9, server.holds, changing=False, received_at=now)
            self.reports.append((server.host, server.born, report))
        for host, born, report in self.rng.sample(self.reports, 2):
            apply_report(self.directory, self.chooser, host, born, report)

    def _check(self, now: int) -> None:
        self._check_choice(now)
        newest = {server.name: server.born for server in self.servers}
        for listed in self.directory.all():
            known = self.chooser.stats_of(listed.incarnation_id).report
            births = [
                born for _, born, report in self.reports if report is known
            ]
            if known is not None and births != [listed.born]:
                self.wrong.append(f'{now}: report of {births} for {listed}')
            if listed.born > newest[listed.endpoint_id]:
                self.wrong.append(f'{now}: {listed} is yet to come')

    def _check_choice(self, now: int) -> None:
        """No call is sent to an incarnation that is known to hold nothing."""
        requirements = Requirements(SERVICE, 'z', 10, 'm', 1)
        choice = self.chooser.choose(requirements, (), now)
        if choice is None:
            return
        listed = choice.endpoint
        records = [
            record
            for record in self.late
            if record.incarnation_id == listed.incarnation_id
        ]
        reported = [
            report.serving
            for _, born, report in self.reports
            if born == listed.born
        ]
        if not any(record.versions for record in records) and not any(reported):
            self.wrong.append(f'{now}: {listed} never held anything')


class IncarnationsTest(unittest.TestCase):
    """Keep incarnations apart wherever something is stored."""

    def test_histories(self) -> None:
        """200 histories with late reports, stale reads and reused addresses."""
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self.assertEqual(History(seed).play(), [])

    def test_a_new_incarnation_starts_with_new_statistics(self) -> None:
        """Failures and load of the earlier incarnation don't count."""
        directory = Directory()
        chooser = Chooser(directory, Random(1))
        server = Server('i', '10.0.0.1')
        directory.update(server.record())
        before = chooser.stats_of(server.record().incarnation_id)
        before.record_sent()
        before.record_unreachable(1)
        server.restart(5, '10.0.0.1')
        directory.update(server.record())
        after = chooser.stats_of(server.record().incarnation_id)
        self.assertIsNot(after, before)
        self.assertEqual((after.in_flight, after.failure_rate), (0, 0))
        # A call of the earlier incarnation ends and is forgotten with it.
        before.record_ended()
        chooser.forget_unlisted(2)
        self.assertEqual(list(chooser.stats), [server.record().incarnation_id])

    def test_an_older_incarnation_changes_nothing(self) -> None:
        """Neither by a late record nor after the newer one has gone."""
        directory = Directory()
        server = Server('i', '10.0.0.1')
        old = server.record()
        server.restart(5, '10.0.0.2')
        directory.update(server.record())
        directory.update(old)
        self.assertEqual(directory.get('i'), server.record())
        directory.mark_removed('i', 100)
        directory.update(old)
        self.assertIsNone(directory.get('i'))

    def test_a_moved_endpoint_leaves_its_address(self) -> None:
        """A report from the old address is not assigned to it."""
        directory = Directory()
        server = Server('i', '10.0.0.1')
        directory.update(server.record())
        server.host = '10.0.0.2'
        directory.update(server.record())
        self.assertIsNone(directory.at_host('10.0.0.1'))
        self.assertEqual(directory.at_host('10.0.0.2'), server.record())

    def test_a_report_of_a_new_incarnation_before_the_list(self) -> None:
        """The versions in the list are those of the earlier incarnation."""
        directory = Directory()
        chooser = Chooser(directory, Random(1))
        server = Server('i', '10.0.0.1')
        directory.update(server.record())
        report = Report(0, 0, 0, changing=False, received_at=1)
        apply_report(directory, chooser, '10.0.0.1', 2000, report)
        requirements = Requirements(SERVICE, 'z', 10, 'm', 1)
        self.assertIsNone(chooser.choose(requirements, (), 1))


if __name__ == '__main__':
    unittest.main()
