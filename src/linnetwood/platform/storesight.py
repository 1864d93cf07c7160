"""Tell in the log what calls to the store brought and how long they took."""

import asyncio
from collections import Counter

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Change, Changes
from linnetwood.platform import records
from linnetwood.wire.asking import Answer

_PREFIXES = (
    records.OPERATOR_PREFIX,
    records.ENDPOINT_PREFIX,
    records.CRASH_PREFIX,
)
_OTHERS = 'others'
_NEVER_S = -1.0
_DIGITS = 4


class StoreSight:
    """Log each call that brought changes or failed."""

    def __init__(self) -> None:
        """Know of no answer yet."""
        self._answered_at: float | None = None

    def failed(
        self,
        call: str,
        asked: int,
        answer: Answer,
        exc: StoreError,
    ) -> None:
        """Tell of a call without a whole, good answer."""
        figures = {'code': exc.code, 'detail': exc.detail}
        log(Event.STORE_CALL, **figures, **self._figures(call, asked, answer))

    def answered(
        self,
        call: str,
        asked: int,
        answer: Answer,
        found: Changes,
    ) -> None:
        """Tell what keys came, with the sizes of their values."""
        if found.changes:
            keys: Counter[str] = Counter()
            octets: Counter[str] = Counter()
            for one in found.changes:
                prefix = _prefix(one.key)
                keys[prefix] += 1
                octets[prefix] += _size(one)
            log(
                Event.STORE_CALL,
                got=found.revision,
                keys=dict(keys),
                value_octets=dict(octets),
                **self._figures(call, asked, answer),
            )
        self._answered_at = asyncio.get_running_loop().time()

    def _figures(
        self,
        call: str,
        asked: int,
        answer: Answer,
    ) -> dict[str, object]:
        return {
            'call': call,
            'asked': asked,
            'status': answer.status,
            'octets': len(answer.body),
            'head_s': round(answer.head_s, _DIGITS),
            'end_s': round(answer.end_s, _DIGITS),
            'silent_s': round(self._silent_s(), _DIGITS),
            'fresh': answer.finish.fresh,
        }

    def _silent_s(self) -> float:
        if self._answered_at is None:
            return _NEVER_S
        return asyncio.get_running_loop().time() - self._answered_at


def _prefix(key: str) -> str:
    for prefix in _PREFIXES:
        if key.startswith(prefix):
            return prefix
    return _OTHERS


def _size(one: Change) -> int:
    return len(one.record.payload) if one.record else 0
