"""Hold to the limits that endpoints name, shared by all entries; no I/O.

An endpoint in need names how many calls a second it takes from all entries
together. Each entry that obeys alone would break that: 18 entries with one call
each in 4 s are 18 where a limit of 1 a second allows 11. So an endpoint is sent
to by turns whose pauses add up to less than its limit, whoever sends:

- The process beside an engine hands out parts to the entries that hear it, who
  send most of its calls, and leaves some for the others.
- The others, and all entries before an endpoint without such a process, take
  equal parts by how many entries there are.

A part needs no word of anybody else, so it holds in zones that are cut off.
Every call takes a turn: second tries, resumed streams and calls that find out
whether the limit still stands.
"""

import dataclasses
from collections.abc import Callable
from random import Random

from linnetwood.calls.directory import Listed
from linnetwood.calls.notices import Notices
from linnetwood.calls.routetable import Service
from linnetwood.calls.standing import Standing
from linnetwood.calls.turns import Turns
from linnetwood.fleet.reportsubscribers import UNSUBSCRIBED_SHARE

# Of the limit: half as much again is allowed, and five calls. Few entries come
# in even turns; where many have small parts, chance needs more of what is left.
_USED_BY_FEW = 0.75
_USED_BY_MANY = 0.5
# Of the whole: about that of one of three dozen entries.
_SMALL_PART = 0.03
# A turn is kept for so long: what is allowed counts within four seconds.
_SAVED_S = 1.0
# An endpoint that takes nothing gets a call now and then: else nobody would
# hear that it takes some again.
_LEAST_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An endpoint of a service, and what is known of it."""

    service: Service
    one: Listed
    standing: Standing


class RateLimits:
    """Tell when this entry may send to an endpoint that names a limit."""

    __slots__ = ('_entries', '_notices', '_turns')

    def __init__(
        self,
        notices: Notices,
        rng: Random,
        entries: Callable[[], int],
    ) -> None:
        """Follow what endpoints say; know how many entries there are."""
        self._notices = notices
        self._entries = entries
        self._turns = Turns(rng, _SAVED_S)

    def opens_at(self, place: Place, now: float) -> float:
        """Give from when on a call may go to an endpoint; now for any time."""
        life = place.one.life
        limit_per_s = self._notices.of(life).limit_per_s
        if limit_per_s is None:
            return now
        pause_s = self._pause_s(limit_per_s, place, now)
        return max(now, self._turns.next_at(life, pause_s, now))

    def sent(self, place: Place, now: float) -> None:
        """Note that a call goes there."""
        life = place.one.life
        limit_per_s = self._notices.of(life).limit_per_s
        if limit_per_s is not None:
            pause_s = self._pause_s(limit_per_s, place, now)
            self._turns.take(life, pause_s, now)

    def keep(self, lives: set[str]) -> None:
        """Forget all others."""
        self._turns.keep(lives)

    def _pause_s(
        self,
        limit_per_s: float,
        place: Place,
        now: float,
    ) -> float:
        part = self._part(place, now)
        used = _USED_BY_MANY if part < _SMALL_PART else _USED_BY_FEW
        return 1 / (max(limit_per_s, _LEAST_PER_S) * used * part)

    def _part(self, place: Place, now: float) -> float:
        """Give the part of an endpoint's limit that is this entry's."""
        equal = 1 / max(1, self._entries())
        if place.service.engine is None:
            return equal
        return place.standing.part(now) or equal * UNSUBSCRIBED_SHARE
