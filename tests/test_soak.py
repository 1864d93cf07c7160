"""The soak's checker finds each broken promise; a short run breaks none."""

import dataclasses
import unittest

from linnetwood.lab.measure_soak import run_soak
from linnetwood.lab.soak.checks import Checker, Limits
from linnetwood.lab.soak.fleet import Size
from linnetwood.lab.soak.history import (
    Acked,
    Arrival,
    Call,
    History,
    Kind,
    Run,
    Saying,
    Trouble,
)
from linnetwood.lab.soak.schedule import LEAD_S, Fault, schedule
from linnetwood.lab.soak.totalloss import StoreState

SEED = 1
MINUTES = 0.2
AT = 1000.0
CALL = Call(
    'c',
    Kind.NEVER,
    'e',
    '/confirm/x',
    AT,
    4,
    status=200,
    ended_at=AT + 0.1,
    whole=True,
    signature='s',
    body='mine',
)
RUN = Run('c', 'i', 'desk', AT, 0, 4000, 's', body='mine', ended_at=AT + 0.1)
CUT = dataclasses.replace(CALL, kind=Kind.STREAM, status=0, whole=False)
CRASHED = dataclasses.replace(RUN, crashed=True)
LONG = dataclasses.replace(RUN, ended_at=AT + 7)
SPAN = (AT - 1, AT + 1)
EVENTS = 'id: 1\ndata: c|1|2|1\n\nid: 2\ndata: c|2|2|1\n\n'
STREAM = dataclasses.replace(CALL, kind=Kind.STREAM, body=EVENTS)


def rules(history: History) -> set[str]:
    """Give the names of the promises that are found broken."""
    found = Checker(history, Limits()).violations()
    return {one.partition(' ')[0] for one in found}


def seen(call: Call, *runs: Run, **more: object) -> History:
    """Give a history of one call; changed fields of it come by name."""
    changed = dataclasses.replace(call, **more)  # type: ignore[arg-type]
    return History([changed], list(runs))


def closed_on(count: int, run: Run | None, **changed: object) -> History:
    """Give streams on whose connections an entry closed."""
    history = History()
    for number in range(count):
        name = f'c{number}'
        call = dataclasses.replace(CUT, call_id=name)
        for field, told in changed.items():
            setattr(call, field, told)
        history.calls.append(call)
        if run is not None:
            history.runs.append(dataclasses.replace(run, call_id=name))
    return history


def stop_of(stop: Trouble, entry: str) -> Trouble:
    """Give the same for another entry."""
    return dataclasses.replace(stop, who=entry)


class CheckerTest(unittest.TestCase):
    """Break one promise after the other."""

    def test_sound_histories(self) -> None:
        """Nothing is found where nothing is broken."""
        resumed = dataclasses.replace(RUN, server='j', at=AT + 1)
        for history in (
            seen(CALL, RUN),
            seen(STREAM, RUN),
            seen(STREAM, RUN, resumed),
            seen(CALL, status=503, signature='', body=''),
            seen(CALL, RUN, status=502, signature=''),
            seen(STREAM, RUN, whole=False, body=EVENTS[:-5]),
        ):
            with self.subTest(history=history):
                self.assertEqual(rules(history), set())

    def test_answers(self) -> None:
        """Answers of others, spoilt ones, and events out of order."""
        again = dataclasses.replace(RUN, server='j')
        skipped = EVENTS.replace('c|1|2', 'c|2|2')
        foreign = EVENTS.replace('c|2|2', 'd|2|2')
        short = EVENTS[: len(EVENTS) // 2]
        for name, history in (
            ('MIXED', seen(CALL, RUN, signature='other')),
            ('MIXED', seen(CALL, RUN, body='spoilt')),
            ('MIXED', seen(STREAM, RUN, body=foreign)),
            ('ORDER', seen(STREAM, RUN, body=skipped)),
            ('ORDER', seen(STREAM, RUN, body=short)),
            ('TWICE', seen(CALL, RUN, again)),
            ('REFUSED', seen(CALL, RUN, status=503)),
            ('BUDGET', seen(STREAM, RUN, again, again)),
            ('BUDGET', seen(CALL, dataclasses.replace(RUN, wait_ms=9000))),
        ):
            with self.subTest(name=name, history=history):
                self.assertEqual(rules(history), {name})

    def test_bounds(self) -> None:
        """What the store acknowledged is heeded in time by who is in touch."""
        late = AT + 30
        run = dataclasses.replace(RUN, at=late, version=1)
        call = dataclasses.replace(CALL, sent_at=late)
        probe = dataclasses.replace(call, probes=5, signature='')
        for name, acked, history in (
            ('DRAIN', Acked('draining', 'i', 0, AT), seen(call, run)),
            ('VERSION', Acked('version', '', 2, AT), seen(call, run)),
            ('CONFIG', Acked('config', '', 5, AT), seen(probe, status=404)),
            ('CONFIG', Acked('config', '', 9, AT), seen(probe)),
        ):
            history.acked = [acked]
            with self.subTest(name=name, acked=acked):
                self.assertEqual(rules(history), {name})
                history.troubles = [Trouble('any', AT, late - 1)]
                self.assertEqual(rules(history), set())

    def test_lost(self) -> None:
        """An entry in touch closes on no call that a sound server got."""
        found = {}
        expected = {}
        for name, lost, run, changed, troubles, broken in (
            ('three', 3, RUN, {}, (), False),
            ('four', 4, RUN, {}, (), True),
            ('not passed on', 4, None, {}, (), False),
            ('ended under it', 4, CRASHED, {}, (), False),
            ('told so', 4, RUN, {'status': 502}, (), False),
            ('left', 4, RUN, {'left_at': AT + 0.1}, (), False),
            ('under way at the end', 4, RUN, {'ended_at': 0.0}, (), False),
            ('all troubled', 4, RUN, {}, (Trouble('any', *SPAN),), False),
            ('entry', 4, RUN, {}, (Trouble('any', *SPAN, 'e'),), False),
            ('other entry', 4, RUN, {}, (Trouble('any', *SPAN, 'f'),), True),
            ('server', 4, RUN, {}, (Trouble('any', *SPAN, 'i'),), False),
            ('other server', 4, RUN, {}, (Trouble('any', *SPAN, 'j'),), True),
        ):
            history = closed_on(lost, run, **changed)
            history.troubles = list(troubles)
            found[name] = 'LOST' in rules(history)
            expected[name] = broken
        self.assertEqual(found, expected)

    def test_lost_while_an_entry_stops(self) -> None:
        """An entry that is told to stop ends what it passed on."""
        stop = Trouble('stop entry', AT - 0.5, AT + 8, 'e')
        cut = {'status': 200}
        whole = {'whole': True, 'status': 200, 'body': EVENTS}
        found = {}
        expected = {}
        for name, changed, run, troubles, broken in (
            ('no answer', {}, RUN, (stop,), True),
            ('half an answer', cut, RUN, (stop,), True),
            ('whole', whole, RUN, (stop,), False),
            ('left', {'left_at': AT + 1}, RUN, (stop,), False),
            ('not passed on', {}, None, (stop,), False),
            ('ended under it', {}, CRASHED, (stop,), False),
            ('no stop', cut, RUN, (), False),
            ('another stops', {}, RUN, (stop_of(stop, 'f'),), False),
            ('disruption', {}, RUN, (stop, Trouble('any', *SPAN, 'x')), False),
            ('both stop', {}, RUN, (stop, stop_of(stop, 'f')), True),
            ('grace over', {'ended_at': AT + 9}, RUN, (stop,), False),
            ('at work to the end', {}, LONG, (stop,), False),
        ):
            history = closed_on(1, run, **changed)
            history.troubles = list(troubles)
            found[name] = 'LOST' in rules(history)
            expected[name] = broken
        self.assertEqual(found, expected)

    def test_an_entry_that_stood_still(self) -> None:
        """It tells a back end the whole time of a call that waited for it.

        Seeds 3, 21 and 22 showed that, each time within 0.1 s of the pause.
        """
        late = dataclasses.replace(RUN, at=AT + 2)
        history = seen(CALL, late)
        self.assertEqual(rules(history), {'BUDGET'})
        history.troubles = [Trouble('pause entry', AT, AT + 2, 'e')]
        self.assertEqual(rules(history), set())

    def test_a_newer_configuration_may_be_in_force(self) -> None:
        """It took the route away that the last one due still has."""
        history = seen(CALL, probes=5, status=404, signature='')
        history.acked = [
            Acked('config', '', 5, AT - 30),
            Acked('config', '', 9, AT - 1),
        ]
        self.assertEqual(rules(history), set())

    def test_limits(self) -> None:
        """A server gets what its limit allows from entries that know of it."""
        found = {}
        expected = {}
        for name, gap_s, limit, troubles, broken in (
            ('too many', 0.3, 1, (), True),
            ('so many as are allowed', 0.38, 1, (), False),
            ('a higher limit', 0.3, 2, (), False),
            ('no limit', 0.01, 0, (), False),
            ('all at first', 0.01, 1, (), False),
            ('entry', 0.3, 1, (Trouble('any', AT, AT + 60, 'e'),), False),
            ('server', 0.3, 1, (Trouble('any', AT, AT + 60, 'i'),), True),
        ):
            history = History(troubles=list(troubles))
            for number in range(60):
                call = dataclasses.replace(CALL, call_id=f'c{number}')
                at = AT + number * gap_s
                history.calls.append(call)
                said = Saying(limit=limit)
                arrival = Arrival(call.call_id, 'i', at, said)
                history.arrivals.append(arrival)
            found[name] = 'LIMIT' in rules(history)
            expected[name] = broken
        self.assertEqual(found, expected)

    def test_leaving_and_rest(self) -> None:
        """An entry that was told sends nothing new, or hardly anything."""
        freeze = Trouble('pause entry', AT, AT + 1, 'e')
        cut = Trouble('way silent', AT, AT + 9, 'e')
        found = {}
        expected = {}
        for name, gap_s, said, troubles, broken in (
            ('leaves', 4.0, Saying(leaving=True), (), {'DRAIN'}),
            ('just left', 0.5, Saying(leaving=True), (), set()),
            ('out of touch', 4.0, Saying(leaving=True), (cut,), {'DRAIN'}),
            ('stood still', 4.0, Saying(leaving=True), (freeze,), set()),
            ('rests', 0.6, Saying(rest_s=3.0), (), {'BUDGET'}),
            ('rested', 3.1, Saying(rest_s=3.0), (), set()),
            ('rest, stood still', 0.6, Saying(rest_s=3.0), (freeze,), set()),
        ):
            history = History(troubles=list(troubles))
            for number in range(5):
                at = AT + number * gap_s
                call = dataclasses.replace(
                    CALL, call_id=f'c{number}', sent_at=at, status=502
                )
                history.calls.append(call)
                arrival = Arrival(call.call_id, 'i', at, said)
                history.arrivals.append(arrival)
            found[name] = rules(history)
            expected[name] = broken
        self.assertEqual(found, expected)

    def test_another_life_under_the_same_name_has_said_nothing(self) -> None:
        """Guard against alarms where a server that leaves starts again."""
        history = History()
        for number, said in enumerate((Saying(leaving=True), Saying())):
            at = AT + 9 * number
            call = dataclasses.replace(
                CALL, call_id=f'c{number}', sent_at=at, status=502
            )
            history.calls.append(call)
            arrival = Arrival(call.call_id, 'i', at, said, born=number)
            history.arrivals.append(arrival)
        self.assertEqual(rules(history), set())

    def test_many_calls(self) -> None:
        """What counts by its number: budgets, work after callers, recovery."""
        again = [
            dataclasses.replace(RUN, call_id=f'c{number // 2}', at=AT + number)
            for number in range(0, 8)
        ] * 60
        left = [
            dataclasses.replace(
                STREAM,
                call_id=f'c{number}',
                status=0,
                left_at=AT + 1,
            )
            for number in range(20)
        ]
        working = [
            dataclasses.replace(RUN, call_id=one.call_id, ended_at=AT + 9)
            for one in left
        ]
        refused = [
            dataclasses.replace(CALL, call_id=f'c{number}', status=503)
            for number in range(30)
        ]
        self.assertIn('BUDGET', rules(History([], again)))
        self.assertEqual(rules(History(left, working)), {'GONE'})
        self.assertEqual(rules(History(refused)), {'RECOVER'})
        # Another kind is served, often enough for all calls together.
        served = [
            dataclasses.replace(CALL, call_id=f's{number}')
            for number in range(30)
        ]
        answered = [
            dataclasses.replace(RUN, call_id=one.call_id) for one in served
        ]
        streams = [
            dataclasses.replace(one, kind=Kind.STREAM) for one in refused
        ]
        mixed = History([*streams, *served], answered)
        self.assertEqual(rules(mixed), {'RECOVER'})
        found = History(found=['1 i-1 version 2: [3]'])
        self.assertEqual(rules(found), {'WHOLE'})

    def test_a_seed_gives_one_schedule(self) -> None:
        """And each seed another one, after a while without faults."""
        self.assertEqual(schedule(7, 60), schedule(7, 60))
        self.assertNotEqual(schedule(7, 60), schedule(8, 60))
        self.assertEqual(schedule(7, 60)[0].at_s, LEAD_S)


class SoakTest(unittest.TestCase):
    """Run the programs for a short while."""

    def test_a_short_run(self) -> None:
        """No promise is broken, calls are served, all programs end well."""
        found = run_soak(SEED, MINUTES, Size(3, 3, 2), callers=6)
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['calls']['stream 200'], 0)
        self.assertGreater(found['calls']['never 200'], 0)

    # No engine served again where the version that served was known only from
    # processes and leases that were lost together.
    def test_everything_is_lost_with_the_leases(self) -> None:
        """Entries, endpoint processes and servers come back and serve."""
        pick = list(StoreState).index(StoreState.LEASES_RUN_OUT)
        lost = Fault(LEAD_S, 'all lost', 1.0, pick)
        found = run_soak(SEED, 0, Size(3, 3, 2), callers=6, planned=[lost])
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])


if __name__ == '__main__':
    unittest.main()
