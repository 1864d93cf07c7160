"""Log the results and durations of calls to the store."""

import asyncio
from collections import Counter

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import Change, Changes
from linnetwood.fleet.revisions import number_of
from linnetwood.platform import records
from linnetwood.platform.storeera import StoreEra
from linnetwood.wire.asking import Answer

_PREFIXES = (
    records.OPERATOR_PREFIX,
    records.ENDPOINT_PREFIX,
    records.CRASH_PREFIX,
)
_OTHERS = 'others'
_NO_ANSWER_S = -1.0
_DIGITS = 4


class StoreCallLog:
    """Log each call that returned changes or failed."""

    def __init__(self, era: StoreEra) -> None:
        """Start without any answer; log the era that is known."""
        self._era = era
        self._answered_at: float | None = None

    def log_failure(
        self,
        call: str,
        asked: int,
        answer: Answer,
        exc: StoreError,
    ) -> None:
        """Log a call without a complete, successful answer."""
        figures = {'code': exc.code, 'detail': exc.detail}
        log(Event.STORE_CALL, **figures, **self._fields(call, asked, answer))

    def log_answer(
        self,
        call: str,
        asked: int,
        answer: Answer,
        found: Changes,
    ) -> None:
        """Log the received keys with the sizes of their values."""
        if found.changes:
            keys: Counter[str] = Counter()
            octets: Counter[str] = Counter()
            for one in found.changes:
                prefix = _prefix_of(one.key)
                keys[prefix] += 1
                octets[prefix] += _value_size(one)
            log(
                Event.STORE_CALL,
                got=number_of(found.revision),
                keys=dict(keys),
                value_octets=dict(octets),
                **self._fields(call, asked, answer),
            )
        self._answered_at = asyncio.get_running_loop().time()

    def _fields(
        self,
        call: str,
        asked: int,
        answer: Answer,
    ) -> dict[str, object]:
        return {
            'call': call,
            'asked': asked,
            'era': self._era.newest,
            'status': answer.status,
            'octets': len(answer.body),
            'head_s': round(answer.head_s, _DIGITS),
            'end_s': round(answer.end_s, _DIGITS),
            'silent_s': round(self._silent_s(), _DIGITS),
            'fresh': answer.finish.fresh,
        }

    def _silent_s(self) -> float:
        if self._answered_at is None:
            return _NO_ANSWER_S
        return asyncio.get_running_loop().time() - self._answered_at


def _prefix_of(key: str) -> str:
    for prefix in _PREFIXES:
        if key.startswith(prefix):
            return prefix
    return _OTHERS


def _value_size(one: Change) -> int:
    return len(one.record.payload) if one.record else 0
