"""Check the guarantees of the platform against a history; no I/O or clock."""

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterator

from linnetwood.lab.soak.configchecks import ConfigurationChecker
from linnetwood.lab.soak.endlesschecks import endless_violations
from linnetwood.lab.soak.fatalchecks import FatalPartChecker
from linnetwood.lab.soak.fatalparts import fatal_part_of
from linnetwood.lab.soak.history import (
    AckedWrite,
    Call,
    CallKind,
    History,
    Run,
    describe,
)
from linnetwood.lab.soak.limits import Limits
from linnetwood.lab.soak.lost import LostCalls
from linnetwood.lab.soak.notices import (
    leaving_violations,
    pause_violations,
    rate_limit_violations,
)

_OK = 200
_FOUND_BELOW = 300
# Statuses that guarantee that a call has not run, and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_MILLISECONDS = 1000
_STOP_DELAY_S = 0.5
_MAX_LATE_RUNS = 5
_SHARE_LIMIT = 0.25
# The number of servers that a call may crash before all entries know of it,
# and how often it may be sent to servers after that.
_MAX_CRASHES = 3
_MAX_RUNS_AFTER_CRASHES = 3
# With fewer calls after the last fault, recovery is not checked.
_MIN_CALLS = 20
_MIN_CALLS_OF_KIND = 10


class Checker:
    """Find the violations in one history."""

    def __init__(self, history: History, limits: Limits) -> None:
        """Index the runs by call."""
        self._history = history
        self._limits = limits
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in history.runs:
            self._runs[run.call_id].append(run)
        self._configurations = ConfigurationChecker(history, self._runs, limits)

    def violations(self) -> Iterator[str]:
        """Yield each violation with its rule, time and details."""
        yield from itertools.chain(
            self._call_violations(),
            (f'WHOLE {one}' for one in self._history.found),
            self._configurations.violations(),
            self._run_violations(),
            self._check_retry_share(),
            self._check_fatal_calls(),
            self._check_fatal_parts(),
            self._check_gone(),
            self._check_lost(),
            self._check_rate_limits(),
            leaving_violations(self._history, self._limits.drain_s),
            pause_violations(self._history),
            endless_violations(self._history),
            self._check_recovery(),
        )

    def in_touch_share(self) -> float:
        """Return the share of probes whose entry was in touch."""
        return self._configurations.in_touch_share()

    def moved_counts(self) -> dict[str, int]:
        """Return the probes of moved routes in touch, and of due ones."""
        return self._configurations.moved_counts()

    def _call_violations(self) -> Iterator[str]:
        rules: tuple[Callable[[Call], Iterator[str]], ...] = (
            self._check_mixed,
            self._check_order,
            self._check_twice,
            self._check_refused,
            self._check_attempts,
        )
        for call in self._history.calls:
            yield from itertools.chain.from_iterable(
                rule(call) for rule in rules
            )

    def _run_violations(self) -> Iterator[str]:
        for run in self._history.runs:
            yield from self._check_drain(run)
            yield from self._check_version(run)

    def _check_mixed(self, call: Call) -> Iterator[str]:
        if not _OK <= call.status < _FOUND_BELOW or call.probes:
            return
        runs = self._runs[call.call_id]
        if call.signature not in {run.signature for run in runs}:
            yield describe('MIXED', call, 'no run has this signature')
        if call.kind is not CallKind.STREAM and call.whole:
            if call.body not in {run.body for run in runs}:
                yield describe('MIXED', call, f'body {call.body[:60]!r}')

    def _check_order(self, call: Call) -> Iterator[str]:
        """Check that events are the call's own, in order, and complete."""
        if call.kind is not CallKind.STREAM or call.status != _OK:
            return
        # After the last blank line comes a partial event, or nothing.
        rows = call.body.split('\n\n')[:-1]
        events = [row.partition('data: ')[2].split('|') for row in rows]
        if {parts[0] for parts in events} - {call.call_id}:
            yield describe('MIXED', call, 'an event of another call')
        numbers = [parts[1] for parts in events]
        if numbers != [str(one) for one in range(1, len(rows) + 1)]:
            yield describe('ORDER', call, f'events {numbers}')
        elif call.whole and not _ends_with_last(events):
            yield describe('ORDER', call, f'ends after event {numbers[-1:]}')

    def _check_twice(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if call.kind is CallKind.NON_IDEMPOTENT and len(runs) > 1:
            yield describe('TWICE', call, f'at {[run.server for run in runs]}')

    def _check_refused(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if (
            call.kind is CallKind.NON_IDEMPOTENT
            and call.status in _NOT_RUN
            and runs
        ):
            yield describe('REFUSED', call, f'ran at {runs[0].server}')

    def _check_attempts(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if len(runs) > self._limits.attempts:
            yield describe('BUDGET', call, f'ran {len(runs)} times')
        for run in runs:
            left_s = call.sent_at + call.patience_s - run.at
            late = run.wait_ms / _MILLISECONDS > left_s + self._limits.slack_s
            # A suspended entry can't know how long a call waited for it, nor
            # how late a stand-in that did not run records it.
            if (
                late
                and self._is_connected(call.entry, run.at)
                and self._is_recorded_in_time(run.at)
            ):
                yield describe(
                    'BUDGET', call, f'sent a deadline of {run.wait_ms} ms'
                )

    def _check_drain(self, run: Run) -> Iterator[str]:
        limits = self._limits
        for ack in self._acked_writes('draining', run.server):
            late_s = run.at - ack.at - limits.drain_s - limits.slack_s
            if late_s > 0 and self._is_fault_free_since(
                ack.at - limits.contact_s, run
            ):
                yield f'DRAIN {run.at:.3f} {run.call_id} at {run.server}'

    def _check_version(self, run: Run) -> Iterator[str]:
        limits = self._limits
        bound_s = limits.version_s + limits.slack_s
        newest = self._history.newest_acked('version', run.at - bound_s)
        if run.version and run.version < newest:
            since = max(
                one.at
                for one in self._history.acked
                if one.what == 'version' and one.number == newest
            )
            if self._is_fault_free_since(since - limits.contact_s, run):
                yield (
                    f'VERSION {run.at:.3f} {run.call_id} at {run.server}: '
                    f'version {run.version}, newest is {newest}'
                )

    def _check_retry_share(self) -> Iterator[str]:
        """Check the share of attempts after the first, in any window."""
        repeats = sorted(
            run.at
            for runs in self._runs.values()
            for run in sorted(runs, key=lambda one: one.at)[1:]
        )
        window_s = self._limits.window_s
        sent = [call.sent_at for call in self._history.calls]
        for first in repeats:
            until = first + window_s
            count = sum(first <= at < until for at in repeats)
            calls = sum(first - window_s <= at < until for at in sent)
            allowed = self._limits.retry_share * calls
            if count > allowed + self._limits.retry_extra:
                yield f'BUDGET {first:.3f} {count} repeats for {calls} calls'
                return

    def _check_fatal_calls(self) -> Iterator[str]:
        """Check that a call that crashed three servers reaches few more.

        Where a part of the prompt crashes them, no two calls are alike.
        """
        by_path: dict[str, list[Run]] = defaultdict(list)
        entries = {one.call_id: one.entry for one in self._history.calls}
        for call in self._history.calls:
            if not fatal_part_of(call.parts):
                by_path[call.path].extend(self._runs[call.call_id])
        for path, runs in by_path.items():
            crashes = sorted(one.ended_at for one in runs if one.crashed)
            known_at = self._known_at(crashes)
            late = [
                one
                for one in runs
                if one.at > known_at
                and self._is_connected(entries[one.call_id], one.at)
            ]
            if len(late) > _MAX_RUNS_AFTER_CRASHES:
                detail = (
                    f'{len(late)} runs after three of {len(crashes)} crashes'
                )
                yield f'BUDGET {known_at:.3f} {path}: {detail}'

    def _known_at(self, crashes: list[float]) -> float:
        """Return when every entry must know that a call crashes servers."""
        if len(crashes) < _MAX_CRASHES:
            return math.inf
        return crashes[_MAX_CRASHES - 1] + self._limits.contact_s

    def _check_fatal_parts(self) -> Iterator[str]:
        return FatalPartChecker(
            self._history,
            self._runs,
            self._is_connected,
            self._limits.contact_s,
        ).violations()

    def _check_gone(self) -> Iterator[str]:
        """Check that servers stop soon after callers disconnect."""
        late_s = _STOP_DELAY_S + self._limits.slack_s
        disconnected = [
            call
            for call in self._history.calls
            if call.left_at
            and call.kind is not CallKind.NON_IDEMPOTENT
            and self._is_connected(call.entry, call.left_at + late_s)
            and self._is_recorded_in_time(call.left_at, late_s)
        ]
        continued = [
            run
            for call in disconnected
            for run in self._runs[call.call_id]
            if max(run.at, run.ended_at) > call.left_at + late_s
        ]
        if len(continued) > max(
            _MAX_LATE_RUNS, _SHARE_LIMIT * len(disconnected)
        ):
            first = continued[0].at
            yield (
                f'GONE {first:.3f} {len(continued)} runs of '
                f'{len(disconnected)} calls continued'
            )

    def _check_lost(self) -> Iterator[str]:
        return LostCalls(
            self._history,
            self._runs,
            self._is_connected,
            self._limits.contact_s,
            self._limits.apply_s,
        ).violations()

    def _check_rate_limits(self) -> Iterator[str]:
        return rate_limit_violations(
            self._history,
            self._is_connected,
            self._limits.contact_s,
        )

    def _check_recovery(self) -> Iterator[str]:
        """Check that calls are served again after the last fault."""
        calls = self._history.calls
        last_fault_end = max(
            (one.until for one in self._history.troubles), default=0
        )
        since = last_fault_end + self._limits.version_s
        last = [
            call for call in calls if call.sent_at > since and not call.left_at
        ]
        served = sum(call.status == _OK for call in last)
        if len(last) >= _MIN_CALLS and served < _SHARE_LIMIT * len(last):
            yield f'RECOVER {since:.3f} {served} of {len(last)} served'
        # Checked by kind, since one kind may be served while another is not.
        for kind in CallKind:
            of_kind = [call for call in last if call.kind is kind]
            served = sum(call.status == _OK for call in of_kind)
            if len(
                of_kind
            ) >= _MIN_CALLS_OF_KIND and served < _SHARE_LIMIT * len(of_kind):
                detail = f'{served} of {len(of_kind)} {kind.value} served'
                yield f'RECOVER {since:.3f} {detail}'

    def _acked_writes(self, what: str, name: str) -> Iterator[AckedWrite]:
        for one in self._history.acked:
            if one.what == what and one.name == name:
                yield one

    def _is_connected(self, who: str, at: float) -> bool:
        since = at - self._limits.contact_s - self._limits.apply_s
        return self._history.is_fault_free(who, since, at)

    def _is_recorded_in_time(self, at: float, span_s: float = 0) -> bool:
        """Return whether the stand-ins ran around a time, or for a span."""
        slack_s = self._limits.slack_s
        return self._history.is_recorded_in_time(
            at - slack_s, at + span_s + slack_s
        )

    def _is_fault_free_since(self, since: float, run: Run) -> bool:
        """Return whether there was no fault between a time and a run."""
        return not any(
            one.at < run.at and one.until > since
            for one in self._history.troubles
        )


def _ends_with_last(events: list[list[str]]) -> bool:
    """Return whether the last event is the last of its stream."""
    if not events:
        return False
    _, *numbers = events[-1]
    return numbers[:1] == numbers[1:2]
