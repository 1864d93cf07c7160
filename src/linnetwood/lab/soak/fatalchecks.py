"""Check what follows once a part of prompts has crashed engines.

No I/O or clock.
"""

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import chain
from typing import NamedTuple

from linnetwood.lab.soak.fatalparts import fatal_part_of
from linnetwood.lab.soak.history import Call, History, IsConnected, Runs

# The number of crashes after which all connected entries must know the part,
# and how many calls with it may reach servers after that.
_KNOWN_AFTER_CRASHES = 5
_MAX_LATE_CALLS = 3
# With fewer calls on either side, shares of sound calls are not compared.
_MIN_CALLS = 20
_MIN_SHARE = 0.5


class _FatalPart(NamedTuple):
    """A fatal part, the calls with it, and the times of its crashes."""

    part_id: str
    calls: list[Call]
    crashes: list[float]


class FatalPartChecker:
    """Find calls with known fatal parts, and sound calls not served."""

    def __init__(
        self,
        history: History,
        runs: Runs,
        is_connected: IsConnected,
        contact_s: float,
    ) -> None:
        """Check one history, with its runs by call."""
        self._history = history
        self._runs = runs
        self._is_connected = is_connected
        self._contact_s = contact_s

    def violations(self) -> Iterator[str]:
        """Yield each violation with its rule, time and part."""
        for fatal in self._fatal_parts():
            if fatal.crashes:
                yield from self._check_late_calls(fatal)
                yield from self._check_sound_calls(fatal)

    def _fatal_parts(self) -> Iterator[_FatalPart]:
        by_part: dict[str, list[Call]] = defaultdict(list)
        for call in self._history.calls:
            by_part[fatal_part_of(call.parts)].append(call)
        by_part.pop('', None)
        for part_id, calls in by_part.items():
            runs = chain.from_iterable(
                self._runs.get(one.call_id, ()) for one in calls
            )
            crashes = sorted(run.ended_at for run in runs if run.crashed)
            yield _FatalPart(part_id, calls, crashes)

    def _check_late_calls(self, fatal: _FatalPart) -> Iterator[str]:
        """Check that few calls reach servers once the part is known."""
        if len(fatal.crashes) < _KNOWN_AFTER_CRASHES:
            return
        known_at = fatal.crashes[_KNOWN_AFTER_CRASHES - 1] + self._contact_s
        entries = {call.call_id: call.entry for call in fatal.calls}
        late = sum(
            self._is_connected(entries[one.call_id], one.at)
            for one in self._history.arrivals
            if one.call_id in entries and one.at > known_at
        )
        if late > _MAX_LATE_CALLS:
            detail = f'{late} sent later, {len(fatal.crashes)} crashes in all'
            yield f'BUDGET {known_at:.3f} {fatal.part_id}: {detail}'

    def _check_sound_calls(self, fatal: _FatalPart) -> Iterator[str]:
        """Check that sound calls begin half as often as before all faults."""
        last = fatal.crashes[:_KNOWN_AFTER_CRASHES][-1]
        since = last + 2 * self._contact_s
        until = max(call.sent_at for call in fatal.calls)
        before, after = self._sound_calls(fatal, since, until)
        first_parts = {call.parts[0] for call in fatal.calls}
        alike = [call for call in after if call.parts[0] in first_parts]
        # All callers have the same key.
        for group, same in ((after, 'key'), (alike, 'first part')):
            if min(len(before), len(group)) < _MIN_CALLS:
                continue
            share = self._begun_share(group)
            if share < _MIN_SHARE * self._begun_share(before):
                yield (
                    f'LOST {since:.3f} {fatal.part_id}: {share:.2f} of '
                    f'{len(group)} sound calls with the same {same} begin'
                )

    def _sound_calls(
        self, fatal: _FatalPart, since: float, until: float
    ) -> tuple[list[Call], list[Call]]:
        """Return sound calls of the route: before all faults, and in a span."""
        troubles = self._history.troubles
        first_fault = min((one.at for one in troubles), default=math.inf)
        sound = [
            call
            for call in self._history.calls
            if call.path == fatal.calls[0].path
            and not fatal_part_of(call.parts)
        ]
        before = [call for call in sound if call.ended_at < first_fault]
        after = [
            call
            for call in sound
            if since < call.sent_at < until
            and self._is_connected(call.entry, call.sent_at)
        ]
        return before, after

    def _begun_share(self, calls: Sequence[Call]) -> float:
        begun = sum(bool(self._runs.get(call.call_id)) for call in calls)
        return begun / len(calls)
