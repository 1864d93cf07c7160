"""Decode the answers of the platform's store, row by row."""

import base64
import json
from collections.abc import Iterable, Iterator
from typing import Any

from linnetwood.core.errors import StoreError
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.fleet.revisions import era_of, join
from linnetwood.platform.spoiltrows import SpoiltRows
from linnetwood.platform.validation import UNREADABLE
from linnetwood.wire.asking import Answer

_OK = 200
_GONE = 410
_KEY = 'private_key'
# What a row without a key counts under.
_NO_KEY = ''
# No whole number of 64 bits has more.
_MAX_DIGITS = 20
# What decoding a spoilt part raises.
BAD_ANSWER = (LookupError, TypeError, ValueError, OverflowError, AttributeError)
_UNREADABLE = (*UNREADABLE, TypeError)


def history_lost(era: int) -> HistoryLostError:
    """Return the error of a store that lacks changes, in an era."""
    return HistoryLostError('store-history-lost', f'era {era}', era)


def parse_answer(answer: Answer, era: int = 0) -> dict[str, Any]:
    """Return the object of a whole answer.

    Raises HistoryLostError where the store lacks changes, else StoreError.
    """
    if answer.status == _GONE:
        raise history_lost(era)
    if answer.status != _OK:
        detail = answer.finish.detail or f'status {answer.status}'
        raise StoreError('store-unreachable', detail)
    try:
        text = answer.body.decode(errors='replace')
        return dict(json.loads(text, parse_int=_whole_number))
    except _UNREADABLE as exc:
        raise StoreError('store-bad-answer', str(exc)) from exc


def _whole_number(text: str) -> int:
    """Parse a number; one that is too long can be no revision."""
    return int(text) if len(text) <= _MAX_DIGITS else -1


def parse_page(
    parsed: dict[str, Any], era: int, spoilt: SpoiltRows
) -> tuple[Snapshot, str | None]:
    """Decode a page; return the key after which the next one starts.

    Raises StoreError where the answer is to be asked for again.
    """
    spoilt.begin()
    try:
        revision = join(era, int(parsed['timestamp']))
        found = {
            _sendable_key(row): _record(row, revision, spoilt)
            for row in _rows_with_keys(parsed['items'], spoilt)
        }
        has_more = bool(parsed['has_more'])
        next_after = parsed['items'][-1][_KEY] if has_more else None
    except BAD_ANSWER as exc:
        raise StoreError('store-bad-answer', repr(exc)) from exc
    spoilt.check_page(len(found))
    return Snapshot(found, revision), next_after


def parse_changes(
    parsed: dict[str, Any], era: int, spoilt: SpoiltRows
) -> Changes:
    """Decode changes in order.

    Raises StoreError where the answer is to be asked for again.
    """
    spoilt.begin()
    try:
        revision = join(era, int(parsed['timestamp']))
        changes = tuple(
            _change(row, revision, spoilt)
            for row in _rows_with_keys(parsed['events'], spoilt)
        )
    except BAD_ANSWER as exc:
        raise StoreError('store-bad-answer', repr(exc)) from exc
    spoilt.check()
    return Changes(changes, revision)


def _rows_with_keys(
    rows: Iterable[Any], spoilt: SpoiltRows
) -> Iterator[dict[str, Any]]:
    """Yield rows; nothing tells what a row without a key has changed."""
    for row in rows:
        if isinstance(row, dict) and isinstance(row.get(_KEY), str):
            yield row
        else:
            spoilt.note(_NO_KEY)


def _sendable_key(row: dict[str, Any]) -> str:
    """Return a key that can be passed on to other entries."""
    return str(row[_KEY]).encode(errors='replace').decode()


def _payload(row: dict[str, Any]) -> bytes:
    # A key with halves of surrogate pairs can't be encoded.
    row[_KEY].encode()
    return base64.b64decode(row['value'], validate=True)


def _record(row: dict[str, Any], newest: int, spoilt: SpoiltRows) -> Record:
    """Decode a row; one that can't be read holds no bytes.

    All later changes are behind a spoilt row, in each answer until its key is
    written again. So it is a malformed record, not a bad answer.
    """
    try:
        payload = _payload(row)
    except BAD_ANSWER:
        spoilt.note(row[_KEY])
        payload = b''
    return Record(payload, _revision(row, newest, spoilt))


def _change(row: dict[str, Any], newest: int, spoilt: SpoiltRows) -> Change:
    key = _sendable_key(row)
    if row.get('deleted'):
        deleted_revision = _revision(row, newest, spoilt)
        return Change(key, None, deleted_revision=deleted_revision)
    return Change(key, _record(row, newest, spoilt))


def _revision(row: dict[str, Any], newest: int, spoilt: SpoiltRows) -> int:
    """Return the revision of a row, or that of its answer if it has none.

    A higher one is none: it would hide all later changes of its key.
    """
    try:
        revision = join(era_of(newest), int(row['revision']))
    except BAD_ANSWER:
        revision = newest + 1
    if revision > newest:
        spoilt.note(row[_KEY])
    return min(newest, revision)
