"""Check what others wrote by tables of fields, before anything is taken of it.

A validation library would decode no sooner, and hold a twelfth of an entry's
memory in each process.
"""

import dataclasses
import ipaddress
import json
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

from linnetwood.core.errors import ConfigError

# What a whole number may be: it fits every other program's, too.
_MOST_WHOLE = 2**53  # noqa: WPS432
_MOST_PORT = 65535
# So much of a value that is refused is told.
_SHOWN = 40
# What bytes that are no JSON, or nest too deep for the parser, raise.
UNREADABLE = (ValueError, RecursionError)

Check = Callable[[object], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field: how it is checked, what is allowed, whether it is needed."""

    name: str
    check: Check
    allowed: str
    needed: bool = True


def text(name: str, *, needed: bool = True) -> Field:
    """Want text that is not empty."""
    return Field(name, _is_text, 'text', needed)


def flag(name: str, *, needed: bool = True) -> Field:
    """Want true or false."""
    return Field(name, _is_flag, 'true or false', needed)


def whole(name: str, least: int = 0, *, needed: bool = True) -> Field:
    """Want a whole number of at least so much."""
    return Field(
        name,
        lambda found: _is_whole(found) and cast(int, found) >= least,
        f'a whole number from {least}',
        needed,
    )


def number(name: str, *, above: float = -1, needed: bool = True) -> Field:
    """Want a finite number from 0 on, or above another one."""
    return Field(
        name,
        lambda found: _is_number(found) and cast(float, found) > above,
        'a number',
        needed,
    )


def one_of(name: str, *words: str) -> Field:
    """Want one of some words."""
    return Field(
        name,
        lambda found: isinstance(found, str) and found in words,
        ' or '.join(words),
    )


def place(name: str, *, needed: bool = True) -> Field:
    """Want IP:PORT."""
    return Field(name, _is_place, 'IP:PORT', needed)


def texts(name: str, *, needed: bool = True) -> Field:
    """Want a list of texts."""
    return Field(name, _are_texts, 'a list of texts', needed)


def table(name: str, fields: Sequence[Field], *, needed: bool = True) -> Field:
    """Want an object with such fields."""
    return Field(
        name, lambda found: not faults(found, fields), 'a table', needed
    )


def rows(name: str, fields: Sequence[Field], *, needed: bool = True) -> Field:
    """Want a list of objects with such fields."""
    return Field(
        name,
        lambda found: (
            isinstance(found, list)
            and not any(faults(one, fields) for one in found)
        ),
        'a list of tables',
        needed,
    )


def faults(found: object, fields: Sequence[Field]) -> str:
    """Tell the first field that is not as it should be; nothing if all are."""
    if not isinstance(found, dict):
        return f'{_shown(found)} is no table'
    for field in fields:
        if field.name not in found:
            if field.needed:
                return f'{field.name} is missing'
        elif not field.check(found[field.name]):
            shown = _shown(found[field.name])
            return f'{field.name} is {shown}, not {field.allowed}'
    return ''


def read(
    payload: bytes,
    fields: Sequence[Field],
    code: str,
) -> Mapping[str, Any]:
    """Read an object with such fields, or raise ConfigError with this code."""
    try:
        found = json.loads(payload)
    except UNREADABLE as exc:
        raise ConfigError(code, repr(exc)) from exc
    fault = faults(found, fields)
    if fault:
        raise ConfigError(code, fault)
    return cast(Mapping[str, Any], found)


def _shown(found: object) -> str:
    return repr(found)[:_SHOWN]


def _is_text(found: object) -> bool:
    return isinstance(found, str) and bool(found)


def _is_flag(found: object) -> bool:
    return isinstance(found, bool)


def _is_whole(found: object) -> bool:
    return type(found) is int and abs(found) <= _MOST_WHOLE  # noqa: WPS516


def _is_number(found: object) -> bool:
    return _is_whole(found) or (
        isinstance(found, float) and math.isfinite(found) and found >= 0
    )


def _is_place(found: object) -> bool:
    if not isinstance(found, str):
        return False
    host, _, port = found.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= _MOST_PORT


def _are_texts(found: object) -> bool:
    return isinstance(found, list) and all(map(_is_text, found))
