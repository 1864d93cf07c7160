"""Tell chunks that were spoilt on the way from a manifest that is wrong.

A manifest that isn't named by its digest may itself arrive spoilt. Bytes that
are spoilt on the way differ each time; if the same bytes come again and do not
fit, the digest in the manifest is the more likely fault.
"""

import dataclasses
from collections import deque
from random import Random

from linnetwood.core.backoff import pause_s

_FIRST_S = 0.1
# 600 VMs that want a chunk which is bad for good read it 27 times a second.
_MAX_S = 30.0
_MIN_SHARE = 0.5
# Digests remembered of one chunk.
_MAX_DIGESTS = 4


@dataclasses.dataclass(slots=True)
class _Pause:
    reads: int = 0
    until: float = 0


class BadReads:
    """Pause reads of chunks that the origin sent bad, longer each time.

    Whatever is spoilt for good, few reads are made for it.
    """

    __slots__ = ('_pauses', '_rng')

    def __init__(self, rng: Random) -> None:
        """Start without bad reads."""
        self._rng = rng
        self._pauses: dict[int, _Pause] = {}

    def record(self, index: int, now: float) -> None:
        """Record bytes of the origin that did not fit."""
        pause = self._pauses.setdefault(index, _Pause())
        pause.until = now + pause_s(
            pause.reads, self._rng, _FIRST_S, _MAX_S, _MIN_SHARE
        )
        pause.reads += 1

    def is_paused(self, index: int, now: float) -> bool:
        """Return whether a chunk is not to be read from the origin yet."""
        pause = self._pauses.get(index)
        return pause is not None and now < pause.until

    def forget(self, index: int) -> None:
        """Pause no longer, since the chunk or its digest is right now."""
        self._pauses.pop(index, None)


class RejectedChunks:
    """Record the digests of bytes that did not fit, and who sent them."""

    __slots__ = ('_digests', '_senders')

    def __init__(self) -> None:
        """Start without rejected bytes."""
        self._digests: dict[int, deque[bytes]] = {}
        self._senders: dict[int, set[str]] = {}

    def add(self, index: int, digest: bytes, sender: str) -> bool:
        """Record bytes; return whether the same ones came before."""
        known = self._digests.setdefault(index, deque(maxlen=_MAX_DIGESTS))
        is_repeated = digest in known
        known.append(digest)
        self._senders.setdefault(index, set()).add(sender)
        return is_repeated

    def forget(self, index: int) -> set[str]:
        """Forget a chunk whose digest was wrong; return who sent it."""
        self._digests.pop(index, None)
        return self._senders.pop(index, set())
