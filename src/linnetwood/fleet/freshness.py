"""Limits on the age of an entry's view of a range; no I/O or clock."""

import dataclasses
import math

from linnetwood.fleet.ranges import Change

# Shares of the time within which a configuration must be in force. A wait and
# the maximum age each leave more than half of it for a direct request. Entries
# wait a little longer for an answer that their relay is receiving, since many
# copies over the same link take many times as long. The maximum age, the
# receiving time and the stagger add up; a fifth of the bound is left then.
_WAIT_SHARE = 0.3
_MAX_AGE_SHARE = 0.4
_MAX_RECEIVING_SHARE = 0.25
# Changes in quick succession are fetched together, because each store call
# costs money and each change is relayed to every subscriber. A twentieth of
# the bound is 0.1 to 0.2 s.
_BATCH_DELAY_SHARE = 0.05
# Where all relays of a zone fail, its entries send their requests one after the
# other. The last one's view is then 0.55 of the bound old, 0.8 if a relay was
# receiving an answer meanwhile; its own answer has the rest.
_MAX_STAGGER_SHARE = 0.15
# A wait whose answer is overdue by this share gets a second request beside it.
# Answers on full links are late by less.
_HEDGE_DELAY_SHARE = 0.4
# The maximum age and the stagger come first: the second request is sent at the
# latest at this age of the view, or after the minimum delay, so that both
# requests fit the bound.
_HEDGE_BY_AGE_SHARE = 0.8
_MIN_HEDGE_DELAY_SHARE = 0.1
# Entries read a restored store this share after one another, so that a relay
# passes its copy on before the others have begun.
_REREAD_DELAY_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedUpdate:
    """Changes up to a revision, or the whole range, as a relay sends them.

    Ages are in seconds, infinity for never: since the relay's view was last
    confirmed, since it last received a byte from the store, and since it
    received the first byte of that same answer.
    """

    revision: int
    age_s: float
    last_byte_age_s: float
    first_byte_age_s: float
    outages: int
    whole: bool
    changes: tuple[Change, ...]
    # Hosts of its own zone that a relay of another zone names in its place.
    preferred: tuple[str, ...] = ()
    # Host of the relay.
    source: str = ''
    # What the store lost when it was restored and the relay keeps in force.
    retained: tuple[Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """Limits on waits and on the ages of relayed updates, in seconds.

    wait_s limits a wait at the store, max_age_s the age of a view that is
    trusted, and max_receiving_s the time for which a relay may be receiving an
    answer. After a change, batch_delay_s passes before the next call, so that
    further changes come with it. max_stagger_s limits the wait for entries that
    send their requests first. A request whose answer is overdue by
    hedge_delay_s is sent once more. If the view would be older than
    hedge_by_age_s by then, it is sent earlier, but only when the answer is
    overdue by min_hedge_delay_s. Whole ranges of a restored store are read
    reread_delay_s after one another.
    """

    wait_s: float = 2
    max_age_s: float = 0
    max_receiving_s: float = 0
    batch_delay_s: float = 0.02
    max_stagger_s: float = 0
    hedge_delay_s: float = math.inf
    min_hedge_delay_s: float = math.inf
    hedge_by_age_s: float = math.inf
    reread_delay_s: float = 0

    def stagger_s(self, position: int, *, reads_whole: bool) -> float:
        """Return how long an entry waits for those that request first.

        All entries of a zone read the whole range of a store that was restored;
        the first copy takes as long as several changes.
        """
        if reads_whole:
            return min(position * self.reread_delay_s, self.max_age_s)
        return min(position * self.batch_delay_s, self.max_stagger_s)

    def batch_delay_at_s(self, age_s: float) -> float:
        """Return how long to gather changes: less for a view that is older."""
        return max(0, min(self.batch_delay_s, self.wait_s - age_s))

    def fresh_for_s(self, update: RelayedUpdate) -> float:
        """Return the seconds for which an update is fresh; negative if old."""
        return self.max_age_s - update.age_s

    def receiving_for_s(self, update: RelayedUpdate) -> float:
        """Return how long to wait for the answer that the relay receives."""
        return min(
            self.max_age_s - update.last_byte_age_s,
            self.max_receiving_s - update.first_byte_age_s,
        )

    def hedge_delay_at_s(self, age_s: float) -> float:
        """Return by how much an answer due at this age of the view may be late.

        Later than that, the request is sent a second time.
        """
        if age_s > self.hedge_by_age_s + self.min_hedge_delay_s:
            # No answer can come in time; a second call would only cost money.
            return self.hedge_delay_s
        left_s = max(self.min_hedge_delay_s, self.hedge_by_age_s - age_s)
        return min(self.hedge_delay_s, left_s)


DEFAULT_BOUNDS = FreshnessBounds()


def bounds_for(apply_s: float) -> FreshnessBounds:
    """Return the limits where a change must be in force within apply_s."""
    return FreshnessBounds(
        apply_s * _WAIT_SHARE,
        apply_s * _MAX_AGE_SHARE,
        apply_s * _MAX_RECEIVING_SHARE,
        apply_s * _BATCH_DELAY_SHARE,
        apply_s * _MAX_STAGGER_SHARE,
        apply_s * _HEDGE_DELAY_SHARE,
        apply_s * _MIN_HEDGE_DELAY_SHARE,
        apply_s * _HEDGE_BY_AGE_SHARE,
        apply_s * _REREAD_DELAY_SHARE,
    )
