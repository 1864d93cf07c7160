"""Find calls that an entry read whole, but never answered.

No I/O or clock.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from fractions import Fraction

from linnetwood.lab.soak.history import (
    PROCESSOR_WAIT,
    Call,
    History,
    IsConnected,
    Runs,
)
from linnetwood.lab.soak.plannedwork import STOP, PlannedWork

# The number of calls that a connected entry may close without an answer.
_MAX_LOST = 3
# A call that was not forwarded may cross the close of its connection.
_LOSS_SLACK_S = 0.2
# How many times as often an entry may cut calls beside configurations, and
# the share of its time after which such a call is not counted.
_MAX_RATIO = 3
_USED_SHARE = 0.7


class LostCalls:
    """Check the calls of a history that ended without a whole answer."""

    def __init__(
        self,
        history: History,
        runs: Runs,
        is_connected: IsConnected,
        contact_s: float,
        apply_s: float,
    ) -> None:
        """Use a history, its runs by call, and the bounds."""
        self._history = history
        self._runs = runs
        self._is_connected = is_connected
        self._contact_s = contact_s
        self._work = PlannedWork(history, runs, apply_s)
        self._reached: dict[str, set[str]] = defaultdict(set)
        for arrival in history.arrivals:
            self._reached[arrival.call_id].add(arrival.server)
        for run in history.runs:
            self._reached[run.call_id].add(run.server)

    def violations(self) -> Iterator[str]:
        """Yield calls lost at any time, then those lost beside planned work."""
        cut = [call for call in self._history.calls if self._is_cut(call)]
        yield from self._check_connected_entries(cut)
        lost = [
            call
            for call in cut
            if self._was_read(call) and self._is_undisturbed(call)
        ]
        for call in lost:
            for work in self._work.of_entry(call):
                yield self._describe(call, work)
        by_entry: dict[str, list[Call]] = defaultdict(list)
        for call in lost:
            by_entry[call.entry].append(call)
        for calls in by_entry.values():
            yield from self._check_configurations(calls)

    def _check_connected_entries(self, cut: Sequence[Call]) -> Iterator[str]:
        """Check calls that connected entries forwarded to sound servers."""
        unanswered: dict[str, list[Call]] = defaultdict(list)
        for call in cut:
            if (
                not call.status
                and self._reached.get(call.call_id)
                and self._are_servers_fault_free(call)
                and self._is_connected(call.entry, call.ended_at)
            ):
                unanswered[call.entry].append(call)
        for calls in unanswered.values():
            if len(calls) > _MAX_LOST:
                yield self._describe(calls[0], f'and {len(calls) - 1} more')

    def _check_configurations(self, lost: Sequence[Call]) -> Iterator[str]:
        """Check the calls that one entry lost beside configurations."""
        is_beside = self._work.is_beside_configuration
        entry = lost[0].entry
        sent = [
            call
            for call in self._history.calls
            if call.entry == entry
            and call.ended_at
            and self._is_undisturbed(call)
        ]
        beside = [call for call in lost if is_beside(call)]
        sent_beside = sum(is_beside(call) for call in sent)
        share = _share(len(beside), sent_beside)
        usual = _share(len(lost) - len(beside), len(sent) - sent_beside)
        if share <= _MAX_RATIO * usual:
            return
        for call in beside:
            if call.ended_at - call.sent_at < _USED_SHARE * call.patience_s:
                shares = f'{share} of its calls, else {usual}'
                yield self._describe(call, f'beside a configuration, {shares}')

    def _is_cut(self, call: Call) -> bool:
        """Return whether a call ended without an answer, and not by a server.

        A call without an end was in progress when the soak test ended.
        """
        if call.whole or call.left_at or not call.ended_at:
            return False
        runs = self._runs.get(call.call_id, ())
        return not any(run.crashed for run in runs)

    def _was_read(self, call: Call) -> bool:
        """Return whether an entry has read a call whose time is not over."""
        if call.ended_at >= call.sent_at + call.patience_s:
            return False
        if self._reached.get(call.call_id):
            return True
        since = call.written_at
        return bool(since) and call.ended_at > since + _LOSS_SLACK_S

    def _is_undisturbed(self, call: Call) -> bool:
        """Return whether there was no unplanned fault, or just before."""
        since = call.sent_at - self._contact_s
        return not any(
            one.at < call.ended_at and one.until > since
            for one in self._history.troubles
            if one.kind != STOP
            and (one.kind != PROCESSOR_WAIT or one.who == call.entry)
        )

    def _are_servers_fault_free(self, call: Call) -> bool:
        return all(
            self._history.is_fault_free(one, call.sent_at, call.ended_at)
            for one in self._reached[call.call_id]
        )

    def _describe(self, call: Call, detail: str) -> str:
        servers = ', '.join(sorted(self._reached.get(call.call_id, ())))
        seen = f'{call.status} after {call.ended_at - call.sent_at:.3f} s'
        return (
            f'LOST {call.sent_at:.3f} {call.call_id} by {call.entry}: {detail}'
            f' ({seen}, sent to {servers or "none"})'
        )


def _share(count: int, among: int) -> Fraction:
    return Fraction(count, among or 1)
