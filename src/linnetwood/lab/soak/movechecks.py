"""Check that calls on moved routes run at the right service; no I/O or clock.

A call may run as any configuration allows that is due when it is sent, or has
been sent to the store since.
"""

from collections.abc import Callable, Iterator
from typing import Final

from linnetwood.lab.soak.contact import Contact
from linnetwood.lab.soak.history import Call, History, Runs, describe
from linnetwood.lab.soak.movedroutes import MOVED_PREFIX, Target, service_of

# Refusals that state that a route or key does not exist.
REFUSALS: Final = frozenset((401, 403, 404))


class MovedRouteChecker:
    """Find calls that ran, or were refused, as only older ones allow."""

    def __init__(
        self,
        history: History,
        runs: Runs,
        contact: Contact,
        seen_before: Callable[[Call], int],
    ) -> None:
        """Use what tells the newest number seen before in an entry's life."""
        self._history = history
        self._runs = runs
        self._contact = contact
        self._seen_before = seen_before

    def violations(self) -> Iterator[str]:
        """Yield each violation with its time and details."""
        for call in self._calls():
            if self._contact.is_bound(call):
                due = self._contact.due(call)
                yield from self._check(call, due, 'due is')
            seen = self._seen_before(call)
            yield from self._check(call, seen, 'after the effect of')

    def counts(self) -> dict[str, int]:
        """Return how many calls were checked against a due number."""
        due = list(self.due_calls())
        run = [call for call in due if self._runs.get(call.call_id)]
        checked = filter(self._contact.is_bound, self._calls())
        return {
            'checked': sum(1 for _ in checked),
            'due': len(due),
            'due, run': len(run),
        }

    def due_calls(self) -> Iterator[Call]:
        """Yield calls in touch on routes that all of these have."""
        for call in filter(self._contact.is_in_touch, self._calls()):
            due = self._contact.due(call)
            if due and all(self._allowed(call, due)):
                yield call

    def _calls(self) -> Iterator[Call]:
        for call in self._history.calls:
            if call.path.startswith(MOVED_PREFIX) and call.ended_at:
                yield call

    def _check(self, call: Call, number: int, what: str) -> Iterator[str]:
        """Check a call against the configurations from a number on."""
        if not number:
            return
        allowed = self._allowed(call, number)
        wrong = {run.service for run in self._runs.get(call.call_id, ())}
        detail = f'{call.path}, {what} {number}, which allows {sorted(allowed)}'
        if wrong - allowed:
            yield describe('CONFIG', call, f'run by {wrong}, {detail}')
        elif call.status in REFUSALS and '' not in allowed:
            yield describe('CONFIG', call, f'refused, {detail}')

    def _allowed(self, call: Call, number: int) -> set[str]:
        newest = max(number, self._history.newest_sent(call.ended_at))
        target = Target(call.host, call.path)
        return {service_of(target, one) for one in range(number, newest + 1)}
