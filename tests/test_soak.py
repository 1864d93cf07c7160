"""Test the checker of soak tests on histories, and run short soak tests."""

import asyncio
import dataclasses
import json
import math
import unittest

from linnetwood.lab.launcher import Ports
from linnetwood.lab.measure_soak import run_soak
from linnetwood.lab.soak.callers import LONG_EVENT_COUNTS
from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.fleet import Size
from linnetwood.lab.soak.history import (
    AckedWrite,
    Arrival,
    Call,
    CallKind,
    FaultRecord,
    History,
    Notice,
    Run,
)
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.processorwaits import ProcessorWaits
from linnetwood.lab.soak.proxy import Forwarder
from linnetwood.lab.soak.schedule import (
    LEAD_S,
    Fault,
    schedule,
    schedule_endless,
    schedule_moves,
    schedule_planned_work,
)
from linnetwood.lab.soak.totalloss import StoreState
from tests.loops import close_server

SEED = 1
MINUTES = 0.2
PLANNED_WORK_S = 30
ENDLESS_S = 10
AT = 1000.0
CALL = Call(
    'c',
    CallKind.NON_IDEMPOTENT,
    'e',
    '/confirm/x',
    AT,
    4,
    status=200,
    ended_at=AT + 0.1,
    whole=True,
    signature='s',
    body='own',
)
RUN = Run('c', 'i', 'desk', AT, 0, 4000, 's', body='own', ended_at=AT + 0.1)
CLOSED_STREAM = dataclasses.replace(
    CALL, kind=CallKind.STREAM, status=0, whole=False
)
CRASHED = dataclasses.replace(RUN, crashed=True)
LONG = dataclasses.replace(RUN, ended_at=AT + 7)
SPAN = (AT - 1, AT + 1)
EVENTS = 'id: 1\ndata: c|1|2|1\n\nid: 2\ndata: c|2|2|1\n\n'
STREAM = dataclasses.replace(CALL, kind=CallKind.STREAM, body=EVENTS)


def violated_rules(history: History) -> set[str]:
    """Return the names of the violated rules."""
    found = Checker(history, Limits()).violations()
    return {one.partition(' ')[0] for one in found}


def history_of(call: Call, *runs: Run, **more: object) -> History:
    """Return a history of one call, with some fields replaced."""
    changed = dataclasses.replace(call, **more)  # type: ignore[arg-type]
    return History([changed], list(runs))


def closed_streams(count: int, run: Run | None, **changed: object) -> History:
    """Return streams whose connections an entry closed without an answer."""
    history = History()
    for number in range(count):
        name = f'c{number}'
        call = dataclasses.replace(CLOSED_STREAM, call_id=name)
        for field, replacement in changed.items():
            setattr(call, field, replacement)
        history.calls.append(call)
        if run is not None:
            history.runs.append(dataclasses.replace(run, call_id=name))
    return history


def beside_configuration(
    cut_beside: int, cut_else: int, **changed: object
) -> History:
    """Return 20 streams beside a configuration, and 40 later; some are cut."""
    history = History()
    history.acked = [AckedWrite('config', '', 5, AT, AT - 0.5)]
    for number in range(60):
        later = number - 20
        at = AT if later < 0 else AT + 5.2
        name = f'c{number}'
        call = dataclasses.replace(STREAM, call_id=name, sent_at=at)
        if number < cut_beside or 0 <= later < cut_else:
            call = dataclasses.replace(CLOSED_STREAM, call_id=name, sent_at=at)
        call.ended_at = at + 0.1
        for field, replacement in changed.items():
            if number < cut_beside:
                setattr(call, field, replacement)
        history.calls.append(call)
        history.runs.append(dataclasses.replace(RUN, call_id=name))
    return history


def violations_with(history: History, detail: str) -> list[str]:
    """Return the violations that are described with some words."""
    found = Checker(history, Limits()).violations()
    return [one for one in found if detail in one]


def stop_of_entry(stop: FaultRecord, entry: str) -> FaultRecord:
    """Return the same stop of another entry."""
    return dataclasses.replace(stop, who=entry)


class CheckerTest(unittest.TestCase):
    """Check histories with one violation each, and similar sound ones."""

    def test_sound_histories(self) -> None:
        """Histories without a violation are accepted."""
        resumed = dataclasses.replace(RUN, server='j', at=AT + 1)
        for history in (
            history_of(CALL, RUN),
            history_of(STREAM, RUN),
            history_of(STREAM, RUN, resumed),
            history_of(CALL, status=503, signature='', body=''),
            history_of(CALL, RUN, status=502, signature=''),
            history_of(STREAM, RUN, whole=False, body=EVENTS[:-5]),
        ):
            with self.subTest(history=history):
                self.assertEqual(violated_rules(history), set())

    def test_answers(self) -> None:
        """Mixed up, corrupted and repeated answers are violations."""
        again = dataclasses.replace(RUN, server='j')
        skipped = EVENTS.replace('c|1|2', 'c|2|2')
        foreign = EVENTS.replace('c|2|2', 'd|2|2')
        short = EVENTS[: len(EVENTS) // 2]
        for name, history in (
            ('MIXED', history_of(CALL, RUN, signature='other')),
            ('MIXED', history_of(CALL, RUN, body='corrupted')),
            ('MIXED', history_of(STREAM, RUN, body=foreign)),
            ('ORDER', history_of(STREAM, RUN, body=skipped)),
            ('ORDER', history_of(STREAM, RUN, body=short)),
            ('TWICE', history_of(CALL, RUN, again)),
            ('REFUSED', history_of(CALL, RUN, status=503)),
            ('BUDGET', history_of(STREAM, RUN, again, again)),
            (
                'BUDGET',
                history_of(CALL, dataclasses.replace(RUN, wait_ms=9000)),
            ),
        ):
            with self.subTest(name=name, history=history):
                self.assertEqual(violated_rules(history), {name})

    def test_bounds(self) -> None:
        """Connected entries must apply acknowledged writes in time."""
        late = AT + 30
        run = dataclasses.replace(RUN, at=late, version=1)
        call = dataclasses.replace(CALL, sent_at=late)
        probe = dataclasses.replace(call, probes=5, signature='')
        for name, acked, history in (
            (
                'DRAIN',
                AckedWrite('draining', 'i', 0, AT),
                history_of(call, run),
            ),
            (
                'VERSION',
                AckedWrite('version', '', 2, AT),
                history_of(call, run),
            ),
            (
                'CONFIG',
                AckedWrite('config', '', 5, AT),
                history_of(probe, status=404),
            ),
            ('CONFIG', AckedWrite('config', '', 9, AT), history_of(probe)),
        ):
            history.acked = [acked]
            with self.subTest(name=name, acked=acked):
                self.assertEqual(violated_rules(history), {name})
                history.troubles = [FaultRecord('any', AT, late - 1)]
                self.assertEqual(violated_rules(history), set())

    def test_lost(self) -> None:
        """A connected entry must answer calls that it sent to sound servers."""
        found = {}
        expected = {}
        for name, count, run, changed, troubles, is_violation in (
            ('three', 3, RUN, {}, (), False),
            ('four', 4, RUN, {}, (), True),
            ('not forwarded', 4, None, {}, (), False),
            ('server crashed', 4, CRASHED, {}, (), False),
            ('answered 502', 4, RUN, {'status': 502}, (), False),
            ('caller disconnected', 4, RUN, {'left_at': AT + 0.1}, (), False),
            ('in progress at the end', 4, RUN, {'ended_at': 0.0}, (), False),
            (
                'fault on everything',
                4,
                RUN,
                {},
                (FaultRecord('any', *SPAN),),
                False,
            ),
            (
                'fault on the entry',
                4,
                RUN,
                {},
                (FaultRecord('any', *SPAN, 'e'),),
                False,
            ),
            (
                'fault on another entry',
                4,
                RUN,
                {},
                (FaultRecord('any', *SPAN, 'f'),),
                True,
            ),
            (
                'fault on the server',
                4,
                RUN,
                {},
                (FaultRecord('any', *SPAN, 'i'),),
                False,
            ),
            (
                'fault on another server',
                4,
                RUN,
                {},
                (FaultRecord('any', *SPAN, 'j'),),
                True,
            ),
        ):
            history = closed_streams(count, run, **changed)
            history.troubles = list(troubles)
            found[name] = 'LOST' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_lost_while_an_entry_stops(self) -> None:
        """A stopping entry must complete the calls that it forwarded."""
        stop = FaultRecord('stop entry', AT - 0.5, AT + 8, 'e')
        cut = {'status': 200}
        whole = {'whole': True, 'status': 200, 'body': EVENTS}
        found = {}
        expected = {}
        for name, changed, run, troubles, is_violation in (
            ('no answer', {}, RUN, (stop,), True),
            ('half an answer', cut, RUN, (stop,), True),
            ('whole', whole, RUN, (stop,), False),
            ('caller disconnected', {'left_at': AT + 1}, RUN, (stop,), False),
            ('not forwarded', {}, None, (stop,), False),
            ('server crashed', {}, CRASHED, (stop,), False),
            ('no stop', cut, RUN, (), False),
            (
                'another entry stops',
                {},
                RUN,
                (stop_of_entry(stop, 'f'),),
                False,
            ),
            (
                'another fault',
                {},
                RUN,
                (stop, FaultRecord('any', *SPAN, 'x')),
                False,
            ),
            (
                'both entries stop',
                {},
                RUN,
                (stop, stop_of_entry(stop, 'f')),
                True,
            ),
            (
                'after the grace period',
                {'ended_at': AT + 9},
                RUN,
                (stop,),
                False,
            ),
            ('runs until the end', {}, LONG, (stop,), False),
        ):
            history = closed_streams(1, run, **changed)
            history.troubles = list(troubles)
            found[name] = 'LOST' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    # Guards against a call that a stopping entry has read and never sends on.
    def test_unsent_calls_lost_while_an_entry_stops(self) -> None:
        """A stopping entry may close a connection that a call crosses."""
        stop = FaultRecord('stop entry', AT - 0.5, AT + 8, 'e')
        written = {'written_at': AT, 'ended_at': AT + 0.25}
        found = {}
        expected = {}
        for name, changed, is_violation in (
            ('read', written, True),
            ('crosses the close', {**written, 'ended_at': AT + 0.15}, False),
            ('not written', {**written, 'written_at': 0.0}, False),
            ('refused', {**written, 'status': 503, 'whole': True}, False),
            ('deadline', {**written, 'ended_at': AT + 4}, False),
            (
                'just before the deadline',
                {**written, 'ended_at': AT + 3.9},
                True,
            ),
        ):
            history = closed_streams(1, None, **changed)
            history.troubles = [stop]
            found[name] = 'LOST' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_lost_after_the_grace_period(self) -> None:
        """Planned work lasts a second longer than the grace period."""
        stop = FaultRecord('stop entry', AT, AT + 12, 'e')
        found = {}
        for ended_at in (AT + 8.9, AT + 9.1):
            history = closed_streams(
                1, RUN, sent_at=AT + 6, ended_at=ended_at, patience_s=6
            )
            history.troubles = [stop]
            found[ended_at] = 'LOST' in violated_rules(history)
        self.assertEqual(found, {AT + 8.9: True, AT + 9.1: False})

    # Guards against answers that a reload of its settings ends.
    def test_lost_after_a_reload(self) -> None:
        """Calls sent up to the bound after SIGHUP, and cut after it, count."""
        found = {}
        expected = {}
        for name, at, changed, troubles, is_violation in (
            ('before', AT - 0.1, {}, (), True),
            ('during the call', AT + 0.05, {'status': 200}, (), True),
            ('after the cut', AT + 0.2, {}, (), False),
            ('within the bound', AT - 3.9, {}, (), True),
            ('after the bound', AT - 4.1, {}, (), False),
            ('another entry', AT - 0.1, {'entry': 'f'}, (), False),
            ('whole', AT - 0.1, {'whole': True, 'status': 503}, (), False),
            ('caller left', AT - 0.1, {'left_at': AT + 0.1}, (), False),
            (
                'fault before',
                AT - 0.1,
                {},
                (FaultRecord('any', AT - 4, AT - 2.9, 'x'),),
                False,
            ),
            (
                'fault long before',
                AT - 0.1,
                {},
                (FaultRecord('any', AT - 4, AT - 3.1, 'x'),),
                True,
            ),
            (
                'another entry stops',
                AT - 0.1,
                {},
                (FaultRecord('stop entry', AT - 1, AT + 7, 'f'),),
                True,
            ),
        ):
            history = closed_streams(1, RUN, **changed)
            history.reloads = [FaultRecord('hup entry', at, at, 'e')]
            history.troubles = list(troubles)
            found[name] = 'LOST' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    # Guards against answers that the change of a configuration ends.
    def test_lost_beside_a_configuration(self) -> None:
        """Entries may cut thrice as many calls beside one as otherwise."""
        found = {}
        expected = {}
        for name, cut_beside, cut_else, changed, is_violation in (
            ('never else', 1, 0, {}, True),
            ('over thrice as often', 4, 2, {}, True),
            ('thrice as often', 3, 2, {}, False),
            ('late', 1, 0, {'ended_at': AT + 2.9}, False),
            ('not late', 1, 0, {'ended_at': AT + 2.7}, True),
            ('never beside', 0, 2, {}, False),
            ('none', 0, 0, {}, False),
            ('at different entries', 1, 2, {'entry': 'f'}, True),
        ):
            history = beside_configuration(cut_beside, cut_else, **changed)
            lost = violations_with(history, 'beside a configuration')
            found[name] = bool(lost)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    # Guards against cuts just after a configuration is sent, or long after.
    def test_span_of_a_configuration(self) -> None:
        """It lasts from when it is sent to a second after its bound."""
        found = {}
        expected = {}
        for name, sent_at, ended_at, is_violation in (
            ('before it is sent', AT - 0.7, AT - 0.6, False),
            ('not acknowledged', AT - 0.4, AT - 0.1, True),
            ('ends within', AT - 0.7, AT - 0.4, True),
            ('begins within', AT + 4.9, AT + 5.1, True),
            ('begins later', AT + 5.1, AT + 5.2, False),
        ):
            history = closed_streams(1, RUN, sent_at=sent_at, ended_at=ended_at)
            history.acked = [AckedWrite('config', '', 5, AT, AT - 0.5)]
            found[name] = 'LOST' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_arrived_calls_count_as_sent_on(self) -> None:
        """A call that a server turned away was sent on, too."""
        history = closed_streams(4, None)
        history.arrivals = [
            Arrival(call.call_id, 'i', AT) for call in history.calls
        ]
        self.assertEqual(violated_rules(history), {'LOST'})
        history.arrivals.pop()
        self.assertEqual(violated_rules(history), set())

    def test_silences_excuse_nothing(self) -> None:
        """A server that is silent for a time is sound."""
        silence = FaultRecord('silent answers', *SPAN, 'i')
        history = closed_streams(4, RUN)
        history.silences = [silence]
        self.assertEqual(violated_rules(history), {'LOST'})
        history.troubles = [silence]
        self.assertEqual(violated_rules(history), set())

    def test_suspended_entry(self) -> None:
        """Guard against false alarms: a resumed entry sends the full deadline.

        It can't know how long a call waited while it was suspended. Seen with
        seeds 3, 21 and 22, each time within 0.1 s of the pause.
        """
        late = dataclasses.replace(RUN, at=AT + 2)
        history = history_of(CALL, late)
        self.assertEqual(violated_rules(history), {'BUDGET'})
        history.troubles = [FaultRecord('pause entry', AT, AT + 2, 'e')]
        self.assertEqual(violated_rules(history), set())

    # Guards against false alarms on a busy machine: stand-ins that did not run
    # for over a second recorded calls late, with the deadline as it was sent.
    def test_stand_in_without_a_processor(self) -> None:
        """A stall of stand-ins excuses what they record late, and no entry."""
        late = dataclasses.replace(RUN, at=AT + 2)
        history = history_of(CALL, late)
        stall = json.dumps({'stall': (AT, AT + 2)})
        ProcessorWaits([], history).add_stalls([stall])
        self.assertEqual(violated_rules(history), set())
        left = closed_streams(20, LONG, left_at=AT + 1)
        self.assertEqual(violated_rules(left), {'GONE'})
        left.stalls = history.stalls
        self.assertEqual(violated_rules(left), set())
        lost = closed_streams(4, RUN)
        lost.stalls = history.stalls
        self.assertEqual(violated_rules(lost), {'LOST'})
        drained = history_of(CALL, dataclasses.replace(RUN, at=AT + 9))
        drained.acked = [AckedWrite('draining', 'i', 1, AT)]
        drained.stalls = [FaultRecord('', AT, AT + 9)]
        self.assertIn('DRAIN', violated_rules(drained))

    def test_a_newer_configuration_may_be_in_force(self) -> None:
        """Guard against false alarms: it may lack a route of the due one."""
        history = history_of(CALL, probes=5, status=404, signature='')
        history.acked = [
            AckedWrite('config', '', 5, AT - 30),
            AckedWrite('config', '', 9, AT - 1),
        ]
        self.assertEqual(violated_rules(history), set())

    def test_limits(self) -> None:
        """Entries that know a rate limit must not exceed it."""
        found = {}
        expected = {}
        for name, gap_s, limit, troubles, is_violation in (
            ('too many', 0.3, 1, (), True),
            ('as many as allowed', 0.38, 1, (), False),
            ('a higher limit', 0.3, 2, (), False),
            ('no limit', 0.01, 0, (), False),
            ('before it is known', 0.01, 1, (), False),
            (
                'fault on the entry',
                0.3,
                1,
                (FaultRecord('any', AT, AT + 60, 'e'),),
                False,
            ),
            (
                'fault on the server',
                0.3,
                1,
                (FaultRecord('any', AT, AT + 60, 'i'),),
                True,
            ),
        ):
            history = History(troubles=list(troubles))
            for number in range(60):
                call = dataclasses.replace(CALL, call_id=f'c{number}')
                at = AT + number * gap_s
                history.calls.append(call)
                said = Notice(limit=limit)
                arrival = Arrival(call.call_id, 'i', at, said)
                history.arrivals.append(arrival)
            found[name] = 'LIMIT' in violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_leaving_and_rest(self) -> None:
        """Entries must not send to servers that leave or asked for a pause."""
        freeze = FaultRecord('pause entry', AT, AT + 1, 'e')
        cut = FaultRecord('way silent', AT, AT + 9, 'e')
        found = {}
        expected = {}
        for name, gap_s, said, troubles, is_violation in (
            ('leaves', 4.0, Notice(leaving=True), (), {'DRAIN'}),
            ('just left', 0.5, Notice(leaving=True), (), set()),
            ('disconnected', 4.0, Notice(leaving=True), (cut,), {'DRAIN'}),
            ('suspended', 4.0, Notice(leaving=True), (freeze,), set()),
            ('calls in the pause', 0.6, Notice(rest_s=3.0), (), {'BUDGET'}),
            ('calls after the pause', 3.1, Notice(rest_s=3.0), (), set()),
            (
                'calls in the pause, suspended',
                0.6,
                Notice(rest_s=3.0),
                (freeze,),
                set(),
            ),
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
            found[name] = violated_rules(history)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_notices_of_silent_servers(self) -> None:
        """Guard against false alarms: an entry can't know what is held back."""
        found = {}
        expected = {}
        for name, gap_s, said, held_s, is_violation in (
            ('leaves', 4.0, Notice(leaving=True), 0, True),
            ('held for long', 4.0, Notice(leaving=True), 13, False),
            ('held for a time', 4.0, Notice(leaving=True), 2, True),
            ('never said', 4.0, Notice(leaving=True), math.inf, False),
            ('pause', 0.6, Notice(rest_s=3.0), 0, True),
            ('pause held', 0.6, Notice(rest_s=3.0), 1.8, False),
            ('pause held for a time', 0.6, Notice(rest_s=3.0), 0.6, True),
            ('limit', 0.3, Notice(limit=1), 0, True),
            ('limit held', 0.3, Notice(limit=1), math.inf, False),
        ):
            history = History()
            for number in range(60 if said.limit else 5):
                at = AT + number * gap_s
                call = dataclasses.replace(
                    CALL, call_id=f'c{number}', sent_at=at, status=502
                )
                history.calls.append(call)
                arrival = Arrival(call.call_id, 'i', at, said)
                arrival.held_until = at + held_s if held_s else 0
                history.arrivals.append(arrival)
            rules = {'DRAIN', 'BUDGET', 'LIMIT'} & violated_rules(history)
            found[name] = bool(rules)
            expected[name] = is_violation
        self.assertEqual(found, expected)

    def test_notice_ends_with_the_incarnation(self) -> None:
        """Guard against false alarms after a server that left has restarted."""
        history = History()
        for number, said in enumerate((Notice(leaving=True), Notice())):
            at = AT + 9 * number
            call = dataclasses.replace(
                CALL, call_id=f'c{number}', sent_at=at, status=502
            )
            history.calls.append(call)
            arrival = Arrival(call.call_id, 'i', at, said, born=number)
            history.arrivals.append(arrival)
        self.assertEqual(violated_rules(history), set())

    def test_many_calls(self) -> None:
        """Rules about many calls: retry budget, disconnects, recovery."""
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
        self.assertIn('BUDGET', violated_rules(History([], again)))
        self.assertEqual(violated_rules(History(left, working)), {'GONE'})
        self.assertEqual(violated_rules(History(refused)), {'RECOVER'})
        # The served calls of another kind suffice for all calls together.
        served = [
            dataclasses.replace(CALL, call_id=f's{number}')
            for number in range(30)
        ]
        answered = [
            dataclasses.replace(RUN, call_id=one.call_id) for one in served
        ]
        streams = [
            dataclasses.replace(one, kind=CallKind.STREAM) for one in refused
        ]
        mixed = History([*streams, *served], answered)
        self.assertEqual(violated_rules(mixed), {'RECOVER'})
        found = History(found=['1 i-1 version 2: [3]'])
        self.assertEqual(violated_rules(found), {'WHOLE'})

    def test_a_seed_gives_one_schedule(self) -> None:
        """Each seed gives its own schedule, which starts without faults."""
        self.assertEqual(schedule(7, 60), schedule(7, 60))
        self.assertNotEqual(schedule(7, 60), schedule(8, 60))
        self.assertEqual(schedule(7, 60)[0].at_s, LEAD_S)

    # Guards against a run whose other faults would excuse lost calls.
    def test_planned_work_comes_without_other_faults(self) -> None:
        """It comes beside silent servers, in the same order for each seed."""
        faults = schedule_planned_work(7, 60)
        self.assertEqual(faults, schedule_planned_work(7, 60))
        self.assertNotEqual(faults, schedule_planned_work(8, 60))
        self.assertEqual(faults, sorted(faults, key=lambda one: one.at_s))
        self.assertEqual(
            {one.kind for one in schedule_planned_work(7, 600)},
            {
                'server silent',
                'config',
                'configs',
                'config idle',
                'route without servers',
                'hup entry',
                'stop entry',
            },
        )

    # Guards against runs of moved routes whose seed does not give the faults.
    def test_moves_come_beside_chosen_faults(self) -> None:
        """All kinds come, or only those that are chosen."""
        faults = schedule_moves(7, 60)
        self.assertEqual(faults, schedule_moves(7, 60))
        self.assertNotEqual(faults, schedule_moves(8, 60))
        self.assertEqual(faults, sorted(faults, key=lambda one: one.at_s))
        moves = {'config', 'configs'}
        chosen = {one.kind for one in schedule_moves(7, 600, ('write late',))}
        self.assertEqual(chosen, {*moves, 'write late'})
        every = {one.kind for one in schedule_moves(7, 6000)}
        wanted = {'store lost', 'store deaf', 'reuse address', 'link lossy'}
        self.assertLessEqual(wanted | moves, every)


class StreamEndTest(unittest.TestCase):
    """Streams that end as complete."""

    def test_streams_without_a_last_event(self) -> None:
        """Guard against a checker that raises, or finds nothing."""
        for events in ('', 'id: 1\ndata: c|1\n\n', 'id: 1\ndata: c|1|2|1\n\n'):
            with self.subTest(events=events):
                found = violated_rules(history_of(STREAM, RUN, body=events))
                self.assertIn('ORDER', found)
        self.assertNotIn('ORDER', violated_rules(history_of(STREAM, RUN)))


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Connections through the proxy of the soak test."""

    async def test_silenced_connections_stay_open(self) -> None:
        """Guard against an end that is forwarded without what came before.

        An answer without a length that is cut by it looks complete.
        """
        silenced = asyncio.Event()

        async def answer(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b'a')
            await silenced.wait()
            writer.write(b'b')
            writer.close()

        target = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addAsyncCleanup(close_server, target)
        ports = Ports().take(1)
        forwarder = Forwarder(
            f'127.0.0.1:{ports[0]}',
            f'127.0.0.1:{target.sockets[0].getsockname()[1]}',
        )
        await forwarder.start()
        self.addCleanup(forwarder.close)
        reader, writer = await asyncio.open_connection('127.0.0.1', ports[0])
        self.addCleanup(writer.close)
        self.assertEqual(await reader.read(1), b'a')
        forwarder.apply_mode('silent')
        silenced.set()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)


class SoakTest(unittest.TestCase):
    """Run the programs under faults."""

    starts_processes = True

    def test_a_short_run(self) -> None:
        """No rule is violated, calls are served, all programs stop cleanly."""
        found = run_soak(SEED, MINUTES, Size(3, 3, 2), callers=6)
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['calls']['stream 200'], 0)
        self.assertGreater(found['calls']['never 200'], 0)

    # Guards against engines that never serve again because the served version
    # was known only from processes and leases that were lost together.
    def test_power_cut_with_expired_leases(self) -> None:
        """Entries, endpoint processes and servers restart and serve calls."""
        pick = list(StoreState).index(StoreState.LEASES_EXPIRED)
        fault = Fault(LEAD_S, 'all lost', 1.0, pick)
        found = run_soak(SEED, 0, Size(3, 3, 2), callers=6, planned=[fault])
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])

    # Guards against silence taken for an end: streams at sound servers that
    # fall silent for a second and go on were cut beside planned work.
    def test_silent_servers_beside_planned_work(self) -> None:
        """Entries complete what they sent on, also while one of them stops."""
        found = run_soak(
            SEED,
            0,
            Size(3, 6, 2),
            callers=18,
            planned=schedule_planned_work(SEED, LEAD_S + PLANNED_WORK_S),
            event_counts=LONG_EVENT_COUNTS,
        )
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['silences'], 0)
        self.assertGreater(found['calls']['stream 200'], 0)

    # Guards against entries that stand still while a server answers without
    # end: due routes were not served, and dropped ones ran.
    def test_answers_without_end(self) -> None:
        """Entries keep every rule beside servers that answer without end."""
        planned = schedule_endless(SEED, LEAD_S + ENDLESS_S)
        found = run_soak(SEED, 0, Size(3, 3, 2), callers=6, planned=planned)
        self.assertEqual(found['first'], [])
        self.assertEqual(found['ended_badly'], [])
        self.assertGreater(found['endless']['answers'], 0)


if __name__ == '__main__':
    unittest.main()
