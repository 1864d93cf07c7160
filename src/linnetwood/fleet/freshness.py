"""How old a neighbour's word of a range may be; no I/O or clock."""

import dataclasses
import math

from linnetwood.fleet.ranges import Change

# Parts of the time within which a configuration must be in force. A wait and
# a fresh belief's age leave more than half of it for asking directly; an answer
# that flows to the neighbour is waited for a little longer, since as many
# copies over the same link would take as many times as long. What is fresh,
# what flows then and the turn after that follow each other; a fifth is left.
_WAIT_SHARE = 0.3
_MAX_AGE_SHARE = 0.4
_MAX_RECEIVING_SHARE = 0.25
# Changes that come in a crowd are fetched together: each call is paid for, and
# told on to every neighbour. A twentieth of the bound is 0.1 to 0.2 s.
_BATCH_DELAY_SHARE = 0.05
# Where all that a zone hears are out of touch, its entries ask one after the
# other. The last one's belief is then 0.55 of the bound old, 0.8 if an answer
# flowed meanwhile, and its answer has the rest.
_MAX_STAGGER_SHARE = 0.15
# A wait that is so much late gets a second one beside it. Answers are late by
# less on links that are full.
_HEDGE_DELAY_SHARE = 0.4
# Trust and a turn take their part first: the second one is asked for by this
# age of the belief, or after the least lateness, so that both fit the bound.
_HEDGE_BY_AGE_SHARE = 0.8
_MIN_HEDGE_DELAY_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedUpdate:
    """What a neighbour tells: changes up to a revision, or the whole range.

    Ages are in seconds, infinity for never: since it knew that it knew all,
    since it last got a byte from the store, and since the answer began of
    which that byte is a part.
    """

    revision: int
    age_s: float
    last_byte_age_s: float
    first_byte_age_s: float
    outages: int
    whole: bool
    changes: tuple[Change, ...]
    # Whom of its own zone a teller of another zone names in its place.
    preferred: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessBounds:
    """How long waits last, and how old a neighbour's word may be; seconds.

    After a change others are gathered for so long before the next call; an
    entry waits for so long at most while those before it ask; and an answer is
    late by so much when it is asked for once more: by less, to a least, where
    the belief would be older than asked_s by then.
    """

    wait_s: float = 2
    max_age_s: float = 0
    max_receiving_s: float = 0
    batch_delay_s: float = 0.02
    max_stagger_s: float = 0
    hedge_delay_s: float = math.inf
    min_hedge_delay_s: float = math.inf
    hedge_by_age_s: float = math.inf

    def fresh_for_s(self, update: RelayedUpdate) -> float:
        """Give for how long what is told stays fresh; negative if it is old."""
        return self.max_age_s - update.age_s

    def receiving_for_s(self, update: RelayedUpdate) -> float:
        """Give for how long an answer that flows is worth waiting for."""
        return min(
            self.max_age_s - update.last_byte_age_s,
            self.max_receiving_s - update.first_byte_age_s,
        )

    def hedge_delay_at_s(self, age_s: float) -> float:
        """Give how late an answer may be that is due at this belief's age."""
        if age_s > self.hedge_by_age_s + self.min_hedge_delay_s:
            # Nothing comes in time any more; a second call would only cost.
            return self.hedge_delay_s
        left_s = max(self.min_hedge_delay_s, self.hedge_by_age_s - age_s)
        return min(self.hedge_delay_s, left_s)


DEFAULT_BOUNDS = FreshnessBounds()


def bounds_for(apply_s: float) -> FreshnessBounds:
    """Give the bounds where a change must be in force within so long."""
    return FreshnessBounds(
        apply_s * _WAIT_SHARE,
        apply_s * _MAX_AGE_SHARE,
        apply_s * _MAX_RECEIVING_SHARE,
        apply_s * _BATCH_DELAY_SHARE,
        apply_s * _MAX_STAGGER_SHARE,
        apply_s * _HEDGE_DELAY_SHARE,
        apply_s * _MIN_HEDGE_DELAY_SHARE,
        apply_s * _HEDGE_BY_AGE_SHARE,
    )
