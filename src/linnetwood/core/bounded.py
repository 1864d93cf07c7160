"""Dictionaries that keep their newest keys."""

from typing import TypeVar

_Key = TypeVar('_Key')
_Kept = TypeVar('_Kept')


def keep_newest(
    kept: dict[_Key, _Kept], key: _Key, found: _Kept, limit: int
) -> None:
    """Set a key as the newest, and drop the oldest keys beyond a limit."""
    kept.pop(key, None)
    kept[key] = found
    while len(kept) > limit:
        kept.pop(next(iter(kept)))
