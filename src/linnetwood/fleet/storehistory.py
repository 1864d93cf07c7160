"""Which history of the store a view follows; no I/O or clock."""

import math

from linnetwood.fleet.revisions import era_of


class StoreHistory:
    """Know the newest era, and whether the view must be read again for it.

    A store that is restored from a copy begins a new era. Until the view has
    been read in it, its revision stays known: a relay that has not heard of the
    new era yet must not bring back what was lost.
    """

    __slots__ = (
        '_asked_revision',
        '_era',
        'is_restored',
        'lost_at',
        'must_read',
    )

    def __init__(self) -> None:
        """Start with nothing known of the store."""
        self.must_read = False
        # Whether that is for a store that was restored from a copy.
        self.is_restored = False
        # When the store last said that it lacks changes that the view needs.
        self.lost_at = -math.inf
        self._era = 0
        self._asked_revision = 0

    def note_request(self, revision: int) -> None:
        """Note the view's revision when a request is sent."""
        self._asked_revision = revision

    def note_lost(self, era: int, revision: int, now: float) -> None:
        """Note that the store, in an era, lacks the changes of a request.

        A relay may have brought this era while the request was answered.
        """
        self.is_restored = era_of(self._asked_revision) < era
        is_followed = self.is_restored and era <= era_of(revision)
        self.must_read = not is_followed
        self.lost_at = now
        self._era = max(self._era, era)

    def note_view(self, revision: int) -> None:
        """Note that the view is of a revision now."""
        self.must_read = False
        self._era = max(self._era, era_of(revision))

    def is_over(self, revision: int) -> bool:
        """Return whether the store was restored since a revision's history."""
        return era_of(revision) < self._era
