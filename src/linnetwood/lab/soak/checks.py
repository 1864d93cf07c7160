"""Check the promises against a history; no I/O or clock."""

import dataclasses
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterator

from linnetwood.lab.soak.configuration import KEPT_ROUTES
from linnetwood.lab.soak.history import Acked, Call, History, Kind, Run
from linnetwood.lab.soak.lost import lost
from linnetwood.lab.soak.notices import (
    after_leaving,
    during_rest,
    over_limits,
)

_OK = 200
_FOUND_BELOW = 300
_UNKNOWN = 404
# Answers that promise that a call has not run, and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_MILLISECONDS = 1000
_LATE_S = 0.5
_FEW = 5
_QUARTER = 0.25
# The number of servers that may crash under a call before all entries know it,
# and how often it may be sent to servers after that.
_MOST_ENDED = 3
_MOST_AFTER = 3
# With fewer calls at the end, recovery is not judged.
_ENOUGH = 20
_ENOUGH_ALIKE = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The bounds of a deployment, and the slack for a busy machine."""

    contact_s: float = 3
    apply_s: float = 4
    version_s: float = 12
    drain_s: float = 3
    attempts: int = 2
    retry_share: float = 0.2
    retry_extra: float = 100
    window_s: float = 10
    slack_s: float = 1


class Checker:
    """Check one history."""

    def __init__(self, history: History, limits: Limits) -> None:
        """Index the runs by call."""
        self._history = history
        self._limits = limits
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in history.runs:
            self._runs[run.call_id].append(run)

    def violations(self) -> Iterator[str]:
        """Yield each broken promise with its name, time and details."""
        yield from itertools.chain(
            self._of_calls(),
            (f'WHOLE {one}' for one in self._history.found),
            self._of_runs(),
            self._budget(),
            self._after_three_ended(),
            self._gone(),
            self._lost(),
            self._over_limits(),
            after_leaving(self._history, self._limits.drain_s),
            during_rest(self._history),
            self._recover(),
        )

    def _of_calls(self) -> Iterator[str]:
        rules: tuple[Callable[[Call], Iterator[str]], ...] = (
            self._mixed,
            self._order,
            self._twice,
            self._refused,
            self._config,
            self._budget_of_call,
        )
        for call in self._history.calls:
            yield from itertools.chain.from_iterable(
                rule(call) for rule in rules
            )

    def _of_runs(self) -> Iterator[str]:
        for run in self._history.runs:
            yield from self._drain(run)
            yield from self._version(run)

    def _mixed(self, call: Call) -> Iterator[str]:
        if not _OK <= call.status < _FOUND_BELOW or call.probes:
            return
        runs = self._runs[call.call_id]
        if call.signature not in {run.signature for run in runs}:
            yield _told('MIXED', call, 'no such signature at a back end')
        if call.kind is not Kind.STREAM and call.whole:
            if call.body not in {run.body for run in runs}:
                yield _told('MIXED', call, f'body {call.body[:60]!r}')

    def _order(self, call: Call) -> Iterator[str]:
        """Check that events are the call's own, in order, and complete."""
        if call.kind is not Kind.STREAM or call.status != _OK:
            return
        # After the last blank line comes a partial event, or nothing.
        rows = call.body.split('\n\n')[:-1]
        events = [row.partition('data: ')[2].split('|') for row in rows]
        if {parts[0] for parts in events} - {call.call_id}:
            yield _told('MIXED', call, 'an event of another call')
        numbers = [parts[1] for parts in events]
        if numbers != [str(one) for one in range(1, len(rows) + 1)]:
            yield _told('ORDER', call, f'events {numbers}')
        elif call.whole and numbers[-1:] != events[-1][2:3]:
            yield _told('ORDER', call, f'ends after event {numbers[-1:]}')

    def _twice(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if call.kind is Kind.NEVER and len(runs) > 1:
            yield _told('TWICE', call, f'at {[run.server for run in runs]}')

    def _refused(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if call.kind is Kind.NEVER and call.status in _NOT_RUN and runs:
            yield _told('REFUSED', call, f'ran at {runs[0].server}')

    def _config(self, call: Call) -> Iterator[str]:
        """Check probes of routes that configurations added or removed.

        Each configuration has its own route and those of a few before it. One
        that is newer than the newest due one may be in force, too.
        """
        if not call.probes or not self._in_touch(call.entry, call.sent_at):
            return
        due = self._newest('config', call.sent_at - self._limits.apply_s)
        # A configuration may be in force before it is acknowledged.
        newest = 1 + self._newest('config', call.ended_at)
        kept = call.probes <= due and call.probes >= newest - KEPT_ROUTES
        if kept and call.status == _UNKNOWN:
            yield _told('CONFIG', call, f'{call.probes} not in force')
        if call.probes < due - KEPT_ROUTES and call.status == _OK:
            yield _told('CONFIG', call, f'{call.probes} still in force')

    def _budget_of_call(self, call: Call) -> Iterator[str]:
        runs = self._runs[call.call_id]
        if len(runs) > self._limits.attempts:
            yield _told('BUDGET', call, f'ran {len(runs)} times')
        for run in runs:
            left_s = call.sent_at + call.patience_s - run.at
            late = run.wait_ms / _MILLISECONDS > left_s + self._limits.slack_s
            # A suspended entry can't know how long a call waited for it.
            if late and self._in_touch(call.entry, run.at):
                yield _told('BUDGET', call, f'{run.wait_ms} ms told')

    def _drain(self, run: Run) -> Iterator[str]:
        limits = self._limits
        for ack in self._acked('draining', run.server):
            late_s = run.at - ack.at - limits.drain_s - limits.slack_s
            if late_s > 0 and self._calm_since(ack.at - limits.contact_s, run):
                yield f'DRAIN {run.at:.3f} {run.call_id} at {run.server}'

    def _version(self, run: Run) -> Iterator[str]:
        limits = self._limits
        bound_s = limits.version_s + limits.slack_s
        newest = self._newest('version', run.at - bound_s)
        if run.version and run.version < newest:
            since = max(
                one.at
                for one in self._history.acked
                if one.what == 'version' and one.number == newest
            )
            if self._calm_since(since - limits.contact_s, run):
                yield (
                    f'VERSION {run.at:.3f} {run.call_id} at {run.server}: '
                    f'{run.version}, named was {newest}'
                )

    def _budget(self) -> Iterator[str]:
        """Check the share of attempts after the first, in any window."""
        again = sorted(
            run.at
            for runs in self._runs.values()
            for run in sorted(runs, key=lambda one: one.at)[1:]
        )
        window_s = self._limits.window_s
        sent = [call.sent_at for call in self._history.calls]
        for first in again:
            until = first + window_s
            count = sum(first <= at < until for at in again)
            calls = sum(first - window_s <= at < until for at in sent)
            allowed = self._limits.retry_share * calls
            if count > allowed + self._limits.retry_extra:
                yield f'BUDGET {first:.3f} {count} again for {calls} calls'
                return

    def _after_three_ended(self) -> Iterator[str]:
        """Check that a call that crashed three servers reaches few more."""
        by_path: dict[str, list[Run]] = defaultdict(list)
        entries = {one.call_id: one.entry for one in self._history.calls}
        for call in self._history.calls:
            by_path[call.path].extend(self._runs[call.call_id])
        for path, runs in by_path.items():
            ended = sorted(one.ended_at for one in runs if one.crashed)
            known_at = self._known_at(ended)
            late = [
                one
                for one in runs
                if one.at > known_at
                and self._in_touch(entries[one.call_id], one.at)
            ]
            if len(late) > _MOST_AFTER:
                told = f'{len(late)} more after three, {len(ended)} in all'
                yield f'BUDGET {known_at:.3f} {path} ended servers: {told}'

    def _known_at(self, ended: list[float]) -> float:
        """Return when all must know of a call that crashed servers."""
        if len(ended) < _MOST_ENDED:
            return math.inf
        return ended[_MOST_ENDED - 1] + self._limits.contact_s

    def _gone(self) -> Iterator[str]:
        """Check that servers stop soon after callers disconnect."""
        late_s = _LATE_S + self._limits.slack_s
        left = [
            call
            for call in self._history.calls
            if call.left_at
            and call.kind is not Kind.NEVER
            and self._in_touch(call.entry, call.left_at + late_s)
        ]
        worked_on = [
            run
            for call in left
            for run in self._runs[call.call_id]
            if max(run.at, run.ended_at) > call.left_at + late_s
        ]
        if len(worked_on) > max(_FEW, _QUARTER * len(left)):
            first = worked_on[0].at
            yield f'GONE {first:.3f} {len(worked_on)} of {len(left)} worked on'

    def _lost(self) -> Iterator[str]:
        return lost(
            self._history,
            self._runs,
            self._in_touch,
            self._limits.contact_s,
        )

    def _over_limits(self) -> Iterator[str]:
        return over_limits(
            self._history,
            self._in_touch,
            self._limits.contact_s,
        )

    def _recover(self) -> Iterator[str]:
        """Check that calls are served again once all faults are over."""
        calls = self._history.calls
        ended = max((one.until for one in self._history.troubles), default=0)
        since = ended + self._limits.version_s
        last = [
            call for call in calls if call.sent_at > since and not call.left_at
        ]
        served = sum(call.status == _OK for call in last)
        if len(last) >= _ENOUGH and served < _QUARTER * len(last):
            yield f'RECOVER {since:.3f} {served} of {len(last)} served'
        # Judged by kind, since one kind may be served while another is not.
        for kind in Kind:
            alike = [call for call in last if call.kind is kind]
            served = sum(call.status == _OK for call in alike)
            if len(alike) >= _ENOUGH_ALIKE and served < _QUARTER * len(alike):
                told = f'{served} of {len(alike)} {kind.value} served'
                yield f'RECOVER {since:.3f} {told}'

    def _acked(self, what: str, name: str) -> Iterator[Acked]:
        for one in self._history.acked:
            if one.what == what and one.name == name:
                yield one

    def _newest(self, what: str, before: float) -> int:
        numbers = [
            one.number
            for one in self._history.acked
            if one.what == what and one.at <= before
        ]
        return max(numbers, default=0)

    def _in_touch(self, who: str, at: float) -> bool:
        since = at - self._limits.contact_s - self._limits.apply_s
        return self._history.calm(who, since, at)

    def _calm_since(self, since: float, run: Run) -> bool:
        """Return whether there was no fault between a time and a run."""
        return not any(
            one.at < run.at and one.until > since
            for one in self._history.troubles
        )


def _told(rule: str, call: Call, detail: str) -> str:
    return (
        f'{rule} {call.sent_at:.3f} {call.call_id} by {call.entry}: '
        f'{call.status} {detail}'
    )
