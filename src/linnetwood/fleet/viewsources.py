"""What a view of the store was asked of and heard from; for log lines."""

import dataclasses
import math

_UNKNOWN_S = -1.0
_DIGITS = 3
_NOTHING_ASKED = 'not-asked'
_WAITING = 'waiting'


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """The way by which a view changes, and the host of the relay, if any."""

    way: str
    host: str = ''


FROM_STORE = Source('store')


def relay_source(host: str) -> Source:
    """Return the source of updates of a relay of the own zone."""
    return Source('relay', host)


def zone_source(host: str) -> Source:
    """Return the source of updates of a relay of another zone."""
    return Source('zone', host)


class ViewSources:
    """The last request to the store, and the last update of a relay.

    Times are by the clock of the loop.
    """

    __slots__ = (
        '_asked',
        '_asked_at',
        '_came',
        '_confirmed_as_of',
        '_confirmed_by',
        '_news_as_of',
        '_news_from',
        '_relay',
        '_relay_as_of',
        '_relay_at',
    )

    def __init__(self) -> None:
        """Start with nothing asked or heard."""
        # Where the last answer or update came from, also one that is ignored,
        # and as of when the store had confirmed it.
        self._news_from = Source('')
        self._news_as_of = -math.inf
        # What made the view younger last.
        self._confirmed_by = Source('')
        self._confirmed_as_of = -math.inf
        self._asked = ''
        self._asked_at = -math.inf
        self._came = _NOTHING_ASKED
        self._relay = Source('')
        self._relay_at = -math.inf
        self._relay_as_of = -math.inf

    def asked(self, what: str, now: float) -> None:
        """Note a request to the store."""
        self._asked = what
        self._asked_at = now
        self._came = _WAITING

    def came(self, what: str) -> None:
        """Note what came of the last request."""
        self._came = what

    def heard(self, source: Source, as_of: float, now: float) -> None:
        """Note an update of a relay."""
        self._relay = source
        self._relay_at = now
        self._relay_as_of = as_of
        self.answered(source, as_of)

    def answered(self, source: Source, as_of: float) -> None:
        """Note what the view may be changed or confirmed by next."""
        self._news_from = source
        self._news_as_of = as_of

    def confirmed(self, source: Source, as_of: float) -> None:
        """Note what made the view younger."""
        self._confirmed_by = source
        self._confirmed_as_of = as_of

    def news(self, now: float) -> dict[str, object]:
        """Return the way of the last news, and how old they are."""
        return _fields(self._news_from, now - self._news_as_of)

    def confirmation(self, now: float) -> dict[str, object]:
        """Return by which way the view was confirmed last, and its age."""
        return _fields(self._confirmed_by, now - self._confirmed_as_of)

    def reason(self, now: float) -> dict[str, object]:
        """Return what was asked and heard last, and how long ago."""
        return {
            'code': self._came,
            'asked': self._asked,
            'asked_s': _seconds(now - self._asked_at),
            'relay': self._relay.host,
            'relay_s': _seconds(now - self._relay_at),
            'relay_age_s': _seconds(now - self._relay_as_of),
        }


def _fields(source: Source, age_s: float) -> dict[str, object]:
    return {'way': source.way, 'age_s': _seconds(age_s), 'source': source.host}


def _seconds(seconds: float) -> float:
    return round(seconds, _DIGITS) if math.isfinite(seconds) else _UNKNOWN_S
