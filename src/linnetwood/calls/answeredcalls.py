"""Remember which calls and parts of prompts were answered; no I/O or clock.

Most calls never come again. Fingerprints that were answered once and those
answered repeatedly are kept apart, so that single calls, however many, don't
push out what many calls share.
"""

from linnetwood.core.bounded import keep_newest

_MAX_ONCE = 1024
_MAX_REPEATED = 4096


class AnsweredFingerprints:
    """Hold the fingerprints of the newest answers."""

    __slots__ = ('_once', '_repeated')

    def __init__(self) -> None:
        """Start without answers."""
        self._once: dict[str, None] = {}
        self._repeated: dict[str, None] = {}

    def __contains__(self, fingerprint: object) -> bool:
        """Return whether an answer is remembered."""
        return fingerprint in self._once or fingerprint in self._repeated

    def add(self, fingerprint: str) -> None:
        """Note an answer."""
        if fingerprint in self:
            self._once.pop(fingerprint, None)
            keep_newest(self._repeated, fingerprint, None, _MAX_REPEATED)
        else:
            keep_newest(self._once, fingerprint, None, _MAX_ONCE)
