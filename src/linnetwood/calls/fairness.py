"""Decide which waiting call is admitted next; no I/O, clock or randomness.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over organisations by
their shares. Within an organisation the higher priority goes first, then the
earlier deadline. Capacity that other organisations leave unused goes to those
with waiting calls. An organisation may use unused parts of its share later, up
to a few calls, because calls arrive at random and not at the rate of the share.
"""

import dataclasses
import heapq
import math
from collections.abc import Iterator, Mapping

from linnetwood.calls.pacing import BorrowPacer
from linnetwood.core.outcomes import Code, Ending, not_run

_DEFAULT_SHARE = 1
# Unused share that an organisation may use later at once, in calls.
_CATCH_UP_CALLS = 8
_NEW_DURATION_WEIGHT = 0.1
_INITIAL_MEAN_S = 0.1
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Maximum length of a queue and maximum wait in it."""

    length: int = 256
    wait_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A waiting call; tickets sort in the order within an organisation."""

    rank: int
    deadline: float
    number: int
    organisation: str = dataclasses.field(compare=False)
    queued_at: float = dataclasses.field(compare=False)


class FairQueue:
    """Divide one pool of slots among organisations."""

    def __init__(
        self,
        limits: QueueLimits,
        shares: Mapping[str, int],
        pacer: BorrowPacer | None = None,
    ) -> None:
        """Start empty, with capacity for one call; pace borrowing if given."""
        self.in_flight = 0
        self.capacity = 1
        # When to call pop_admitted again: a free slot may be borrowed then.
        self.resume_at: float | None = None
        self._pacer = pacer
        self._limits = limits
        self._shares = shares
        self._waiting: dict[str, list[Ticket]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = float()
        self._mean_s = _INITIAL_MEAN_S
        self._length = 0
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._length

    def submit(
        self,
        organisation: str,
        priority: int,
        deadline: float,
        now: float,
    ) -> Ticket | Ending | None:
        """Admit a call at once (None), queue it (a ticket) or refuse it."""
        if self.in_flight < self.capacity and self._may_pass(organisation):
            if self._length:
                self._charge(organisation)
            else:
                self._admit_uncharged(organisation)
            self.in_flight += 1
            return None
        refusal = self._refusal(organisation, deadline, now)
        if refusal is not None:
            return refusal
        self._last_number += 1
        ticket = Ticket(
            -priority, deadline, self._last_number, organisation, now
        )
        heapq.heappush(self._waiting.setdefault(organisation, []), ticket)
        self._length += 1
        return ticket

    def release(self, took_s: float) -> None:
        """Release the slot of a call that ended and note its duration."""
        self.in_flight -= 1
        self._mean_s += _NEW_DURATION_WEIGHT * (took_s - self._mean_s)

    def pop_admitted(
        self, now: float
    ) -> Iterator[tuple[Ticket, Ending | None]]:
        """Yield the calls to admit now, and those to refuse as too late."""
        self.resume_at = None
        while self._length and self.in_flight < self.capacity:
            organisation = self._next_organisation()
            admissible_at = self._admissible_at(organisation)
            if now < admissible_at:
                self.resume_at = admissible_at
                return
            ticket = heapq.heappop(self._waiting[organisation])
            self._length -= 1
            if self._is_too_late(ticket, now):
                yield ticket, not_run(Code.LATE, 'waited too long')
                continue
            self._admit(organisation, now)
            yield ticket, None

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was still waiting."""
        waiting = self._waiting.get(ticket.organisation, [])
        if ticket not in waiting:
            return False
        waiting.remove(ticket)
        heapq.heapify(waiting)
        self._length -= 1
        return True

    def _refusal(
        self,
        organisation: str,
        deadline: float,
        now: float,
    ) -> Ending | None:
        ahead = len(self._waiting.get(organisation, ()))
        rate_per_s = self._fair_rate_per_s(organisation)
        wait_s = ahead / rate_per_s
        after_ms = int(wait_s * _MILLISECONDS) + 1
        if ahead >= self._max_waiting(organisation):
            return not_run(Code.OVER_SHARE, organisation, after_ms)
        if self._length >= self._limits.length:
            return not_run(Code.QUEUE_FULL, after_ms=after_ms)
        left_s = deadline - now - self._mean_s
        if wait_s > min(left_s, self._limits.wait_s):
            return not_run(Code.LATE, 'would come too late', after_ms)
        return None

    def _fair_rate_per_s(self, organisation: str) -> float:
        total_per_s = self.capacity / max(self._mean_s, 1 / _MILLISECONDS)
        return total_per_s * self._fraction(organisation)

    def _fraction(self, organisation: str) -> float:
        waiting_names = {
            name for name, waiting in self._waiting.items() if waiting
        }
        waiting_names.add(organisation)
        return self._share(organisation) / sum(map(self._share, waiting_names))

    def _max_waiting(self, organisation: str) -> int:
        return max(1, int(self._limits.length * self._fraction(organisation)))

    def _share(self, organisation: str) -> int:
        return self._shares.get(organisation, _DEFAULT_SHARE)

    def _next_organisation(self) -> str:
        return min(
            (name for name, waiting in self._waiting.items() if waiting),
            key=self._start_tag,
        )

    def _may_pass(self, organisation: str) -> bool:
        """Return whether a call may pass those that wait."""
        if not self._length:
            return True
        return self._is_within_share(organisation) and not self._waiting.get(
            organisation,
        )

    def _is_within_share(self, organisation: str) -> bool:
        """Return whether an organisation recently used at most its share."""
        return (
            self._finish_tags.get(organisation, self._virtual_time)
            <= self._virtual_time
        )

    def _admissible_at(self, organisation: str) -> float:
        """Return the time from which an organisation may take a free slot."""
        # Borrowing is paced only for other organisations that have shares.
        is_alone = len(self._shares) < 2
        if (
            self._pacer is None
            or is_alone
            or self._is_within_share(organisation)
        ):
            return -math.inf
        free = self.capacity - self.in_flight
        return self._pacer.next_borrow_at(self._mean_s, self.capacity, free)

    def _admit(self, organisation: str, now: float) -> None:
        if self._pacer is not None and not self._is_within_share(organisation):
            self._pacer.note_borrowed(now)
        self._charge(organisation)
        self.in_flight += 1

    def _start_tag(self, organisation: str) -> float:
        # An organisation without earlier calls has no unused share.
        finish = self._finish_tags.get(organisation, self._virtual_time)
        return max(self._earliest_start(organisation), finish)

    def _charge(self, organisation: str) -> None:
        start = self._start_tag(organisation)
        self._virtual_time = max(self._virtual_time, start)
        self._finish_tags[organisation] = start + 1 / self._share(organisation)

    def _admit_uncharged(self, organisation: str) -> None:
        """Charge nothing for a slot that no other call waits for."""
        self._finish_tags.setdefault(
            organisation, self._earliest_start(organisation)
        )

    def _earliest_start(self, organisation: str) -> float:
        return self._virtual_time - _CATCH_UP_CALLS / self._share(organisation)

    def _is_too_late(self, ticket: Ticket, now: float) -> bool:
        waited_too_long = now - ticket.queued_at > self._limits.wait_s
        return waited_too_long or now + self._mean_s > ticket.deadline
