"""Read which history of the platform's store an answer belongs to.

A store that is restored from a copy loses its last changes and gives out their
revisions again. Its era, in a header of each answer, then rises.
"""

import re

from linnetwood.core.events import Event, log
from linnetwood.fleet.revisions import MAX_ERA
from linnetwood.wire.curlrequest import Headers

NO_ERA = 0
_HEADER = 'store-era'
_DIGITS = re.compile('[0-9]{1,7}')
# Enough to see what is wrong with a header.
_LOGGED_CHARACTERS = 80


class StoreEra:
    """Hold the highest era that the store's answers have named."""

    __slots__ = ('_unreadable', 'newest')

    def __init__(self) -> None:
        """Start without an era, as a store without the header has none."""
        self.newest = NO_ERA
        self._unreadable = ''

    def read(self, headers: Headers) -> int:
        """Return the era of an answer.

        A header that is missing or can't be read counts as the newest known
        era: the store stays readable, and the next header corrects it.
        """
        found = [text for name, text in headers if name.lower() == _HEADER]
        era = _parse(found)
        if era is None:
            self._log_unreadable(found)
            return self.newest
        if era > self.newest:
            log(Event.STORE_ERA, era=era, known_era=self.newest)
            self.newest = era
        return era

    def note(self, era: int) -> None:
        """Note an era that another entry has learned from the store."""
        self.newest = max(self.newest, era)

    def _log_unreadable(self, found: list[str]) -> None:
        text = repr(found)[:_LOGGED_CHARACTERS] if found else ''
        if text and text != self._unreadable:
            log(Event.STORE_ERA_UNREADABLE, header=text, known_era=self.newest)
        self._unreadable = text


def _parse(found: list[str]) -> int | None:
    texts = {text.strip() for text in found}
    if len(texts) != 1:
        return None
    text = texts.pop()
    if not _DIGITS.fullmatch(text) or int(text) > MAX_ERA:
        return None
    return int(text)
