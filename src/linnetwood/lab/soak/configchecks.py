"""Check that entries apply configurations; no I/O or clock.

A machine is in touch if no fault affected it since the contact bound before a
call. One whose event loop stands still is in touch.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Final, NamedTuple

from linnetwood.lab.soak.configuration import (
    ADDED_PREFIX,
    FIRST_PATHS,
    KEPT_ROUTES,
    timeout_s,
)
from linnetwood.lab.soak.contact import Contact
from linnetwood.lab.soak.history import (
    PROCESSOR_WAIT,
    Call,
    History,
    Runs,
    describe,
)
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.movechecks import REFUSALS, MovedRouteChecker

_OK = 200
_MIN_CALLS_ON_ADDED = 20
_MIN_UNANSWERED = 8
_MIN_SHARE = 0.25
_ANSWER_SLACK_S = 0.5
# A caller that waited for less of its time has disconnected early.
_WAITED_SHARE = 0.9
# How many times the bound of a rollback is on a machine that was slowed.
_SLOWED_RATIO = 8
_SLOWING: Final = frozenset((PROCESSOR_WAIT, 'machine busy', 'pause entry'))
_ENDING: Final = frozenset(('kill entry', 'stop entry', 'all lost'))


class _Effect(NamedTuple):
    """The number of a configuration whose effect a server saw, and when."""

    at: float
    number: int


class ConfigurationChecker:
    """Find entries that act on old configurations, or not at all."""

    def __init__(self, history: History, runs: Runs, limits: Limits) -> None:
        """Check one history, with its runs by call."""
        self._history = history
        self._runs = runs
        self._limits = limits
        self._contact = Contact(history, limits)
        self._probes = [
            call for call in history.calls if call.probes and call.ended_at
        ]
        self._effects: dict[str, list[_Effect]] = defaultdict(list)
        for call in self._probes:
            self._effects[call.entry].extend(
                _Effect(run.at, call.probes)
                for run in runs.get(call.call_id, ())
            )
        self._moved = MovedRouteChecker(
            history, runs, self._contact, self._seen_before
        )

    def violations(self) -> Iterator[str]:
        """Yield each violation with its rule, time and details."""
        yield from chain.from_iterable(map(self._check_late, self._probes))
        yield from self._moved.violations()
        yield from self._check_added_routes()
        yield from self._check_regressions()
        yield from self._check_timeouts()

    def in_touch_share(self) -> float:
        """Return the share of probes whose entry was in touch."""
        in_touch = sum(map(self._contact.is_in_touch, self._probes))
        return round(in_touch / (len(self._probes) or 1), 2)

    def moved_counts(self) -> dict[str, int]:
        """Return the probes of moved routes in touch, and of due ones."""
        return self._moved.counts()

    def _check_late(self, call: Call) -> Iterator[str]:
        """Check routes and keys that due configurations added or dropped."""
        due = self._contact.due(call)
        is_wrong = self._is_refused(call, due) or self._is_obsolete(call, due)
        if is_wrong and self._contact.is_bound(call):
            yield describe('CONFIG', call, f'{call.probes}, due is {due}')

    def _check_added_routes(self) -> Iterator[str]:
        """Compare shares served: in all, and for each entry."""
        added = [
            call
            for call in self._probes
            if call.path.startswith(ADDED_PREFIX)
            and self._exists(call, self._contact.due(call))
            and self._contact.is_in_touch(call)
        ]
        first = [call for call in self._history.calls if self._is_first(call)]
        added.extend(self._moved.due_calls())
        yield from _compare('all entries', added, first)
        for entry in sorted({call.entry for call in added}):
            yield from _compare(
                entry, _of_entry(added, entry), _of_entry(first, entry)
            )

    def _check_regressions(self) -> Iterator[str]:
        for call in sorted(self._probes, key=_entry_and_time):
            yield from self._check_regression(call)

    def _check_regression(self, call: Call) -> Iterator[str]:
        """Check a call against what its entry did before in the same life."""
        for effect in sorted(self._effects[call.entry]):
            is_wrong = self._is_refused(
                call, effect.number
            ) or self._is_obsolete(call, effect.number)
            if is_wrong and self._is_later(call, effect):
                seen = f'{call.probes} after the effect of {effect.number}'
                yield describe('CONFIG', call, f'{seen} at {effect.at:.3f}')
                return

    def _seen_before(self, call: Call) -> int:
        """Return the newest number whose effect was seen before a call."""
        numbers = (
            effect.number
            for effect in self._effects[call.entry]
            if self._is_later(call, effect)
        )
        return max(numbers, default=0)

    def _is_later(self, call: Call, effect: _Effect) -> bool:
        entry = call.entry
        slack_s = self._limits.rollback_s
        if call.sent_at <= effect.at + slack_s:
            return False
        if self._has_fault(entry, effect.at, call.ended_at, _SLOWING):
            slack_s *= _SLOWED_RATIO
        return call.sent_at > effect.at + slack_s and not self._has_fault(
            entry, effect.at, call.ended_at, _ENDING
        )

    def _check_timeouts(self) -> Iterator[str]:
        """Check that calls that outlast the timeout of a route are answered."""
        outlasting = [
            call
            for call in self._history.calls
            if _duration_s(call) > timeout_s(call.path)
            and self._contact.is_in_touch(call)
        ]
        unanswered = [
            call
            for call in outlasting
            if not call.status
            or _duration_s(call) > timeout_s(call.path) + _ANSWER_SLACK_S
        ]
        is_many = len(unanswered) > _MIN_SHARE * len(outlasting)
        if is_many and len(unanswered) >= _MIN_UNANSWERED:
            detail = f'{len(unanswered)} of {len(outlasting)} calls'
            yield describe(
                'CONFIG', unanswered[0], f'{detail} outlast their timeout'
            )

    def _is_refused(self, call: Call, number: int) -> bool:
        """Return whether a route or key is refused that must exist."""
        return call.status in REFUSALS and self._exists(call, number)

    def _exists(self, call: Call, number: int) -> bool:
        """Return whether configurations from a number on have what is called.

        One that is not acknowledged yet may be in force.
        """
        ended_at = call.ended_at
        acked = self._history.newest_acked('config', ended_at)
        newest = max(number, 1 + acked, self._history.newest_sent(ended_at))
        return newest - KEPT_ROUTES <= call.probes <= number

    def _is_obsolete(self, call: Call, number: int) -> bool:
        """Return whether a call ran that none allows from a number on."""
        has_run = call.status == _OK or bool(self._runs.get(call.call_id))
        return has_run and call.probes < number - KEPT_ROUTES

    def _is_first(self, call: Call) -> bool:
        """Return whether a call is on a first route, and was not given up."""
        waited_s = _WAITED_SHARE * call.patience_s
        is_waited_for = not call.left_at or _duration_s(call) > waited_s
        return (
            not call.probes
            and call.path in FIRST_PATHS
            and is_waited_for
            and self._contact.is_in_touch(call)
        )

    def _has_fault(
        self, entry: str, since: float, until: float, kinds: Iterable[str]
    ) -> bool:
        return any(
            one.kind in kinds and one.affects(entry, since, until)
            for one in self._history.troubles
        )


def _compare(
    who: str, added: Sequence[Call], first: Sequence[Call]
) -> Iterator[str]:
    if len(added) < _MIN_CALLS_ON_ADDED or not first:
        return
    served, usual = _served_share(added), _served_share(first)
    if served < _MIN_SHARE * usual:
        shares = f'{served:.2f} of {len(added)}, first routes {usual:.2f}'
        yield f'CONFIG {added[0].sent_at:.3f} {who} on added routes: {shares}'


def _served_share(calls: Sequence[Call]) -> float:
    return sum(call.status == _OK for call in calls) / len(calls)


def _of_entry(calls: Iterable[Call], entry: str) -> list[Call]:
    return [call for call in calls if call.entry == entry]


def _duration_s(call: Call) -> float:
    """Return how long a call waited; a call in progress has waited for none."""
    return max(0, call.ended_at - call.sent_at)


def _entry_and_time(call: Call) -> tuple[str, float]:
    return call.entry, call.sent_at
