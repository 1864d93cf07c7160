"""Rows of the store's answers that can't be read."""

from linnetwood.core.bounded import keep_newest
from linnetwood.core.errors import StoreError

# The oldest are dropped first, and doubted again if they are read again.
_MAX_SEEN = 4096


class SpoiltRows:
    """Doubt an answer once that has such a row under another key, then take it.

    A row that was spoilt on its way is sound in the next answer, but nobody
    asks for it again once the answer has been taken. One that the store itself
    holds is in each answer, and would keep all later changes from being read.
    """

    __slots__ = ('_has_new', '_has_refused', '_rows', '_seen')

    def __init__(self) -> None:
        """Start without any row."""
        self._seen: dict[str, None] = {}
        self._has_new = False
        self._has_refused = False
        self._rows: set[str] = set()

    def begin(self) -> None:
        """Begin with another answer."""
        self._has_new = False
        self._rows.clear()

    def note(self, key: str) -> None:
        """Note that the row under a key can't be read; empty for no key."""
        if key:
            self._rows.add(key)
        self._has_new |= key not in self._seen
        keep_newest(self._seen, key, None, _MAX_SEEN)

    def check_page(self, rows: int) -> None:
        """Raise StoreError if none of several rows of a range can be read.

        Then the store is in trouble, and no list of endpoints is better than
        the one before.
        """
        if rows > 1 and len(self._rows) == rows:
            raise StoreError('store-bad-answer', 'no row can be read')
        self.check()

    def check(self) -> None:
        """Raise StoreError if the answer is to be asked for again.

        It never is twice in a row, however many keys are written.
        """
        self._has_refused = self._has_new and not self._has_refused
        if self._has_refused:
            raise StoreError('store-bad-answer', 'a row can not be read')
