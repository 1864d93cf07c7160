"""Validate records of other writers by tables of fields before use.

A validation library would decode no faster, and take a twelfth of an entry's
memory in each process.
"""

import dataclasses
import ipaddress
import json
import math
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, cast

from linnetwood.core.errors import ConfigError

# Integers up to this are exact in every JSON implementation.
_MAX_INTEGER = 2**53  # noqa: WPS432
_MAX_PORT = 65535
# Logged part of a rejected value.
_MAX_SHOWN_CHARS = 40
# Control characters would end a header, and halves of a pair are no Unicode.
_UNSENDABLE: Final = re.compile('[\x00-\x1f\x7f\ud800-\udfff]')
# Raised for bytes that are not JSON, or nested too deeply for the parser.
UNREADABLE = (ValueError, RecursionError)

Check = Callable[[object], bool]
ObjectHook = Callable[[dict[str, Any]], dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field: its check, the allowed values in words, if it is required."""

    name: str
    check: Check
    allowed: str
    needed: bool = True
    # Finds the place inside a value that the check rejects, with its fault.
    locate: Callable[[object], str] | None = None

    def fault(self, found: object) -> str:
        """Return the place of an invalid value, and what is wrong with it."""
        inner = self.locate(found) if self.locate else ''
        if inner:
            return f'{self.name}{inner}'
        return f'{self.name} is {_shown(found)}, not {self.allowed}'


def text(name: str, *, needed: bool = True) -> Field:
    """Require text that is not empty."""
    return Field(name, _is_text, 'text', needed)


def header_text(name: str, *, needed: bool = True) -> Field:
    """Require text that can be sent as the value of a header."""
    return Field(
        name, is_header_text, 'text without control characters', needed
    )


def boolean(name: str, *, needed: bool = True) -> Field:
    """Require true or false."""
    return Field(
        name, lambda found: isinstance(found, bool), 'true or false', needed
    )


def integer(name: str, least: int = 0, *, needed: bool = True) -> Field:
    """Require an integer that is at least `least`."""
    return Field(
        name,
        lambda found: _is_integer(found) and cast(int, found) >= least,
        f'a whole number from {least}',
        needed,
    )


def whole(name: str, least: int = 0, *, needed: bool = True) -> Field:
    """Require a number without a fraction, also one written as 2.0."""
    return Field(
        name,
        lambda found: _is_whole(found) and cast(float, found) >= least,
        f'a whole number from {least}',
        needed,
    )


def number(name: str, *, above: float = -1, needed: bool = True) -> Field:
    """Require a finite number that is not negative and above `above`."""
    return Field(
        name,
        lambda found: _is_number(found) and cast(float, found) > above,
        'a number',
        needed,
    )


def one_of(name: str, *words: str) -> Field:
    """Require one of some words."""
    return Field(
        name,
        lambda found: isinstance(found, str) and found in words,
        ' or '.join(words),
    )


def address(name: str, *, needed: bool = True) -> Field:
    """Require IP:PORT."""
    return Field(name, _is_address, 'IP:PORT', needed)


def text_list(name: str, *, needed: bool = True) -> Field:
    """Require a list of texts."""
    return Field(name, _are_texts, 'a list of texts', needed)


def nested(name: str, fields: Sequence[Field], *, needed: bool = True) -> Field:
    """Require an object with these fields."""
    return Field(
        name,
        lambda found: not find_fault(found, fields),
        'a table',
        needed,
        lambda found: _inner_fault(found, fields),
    )


def object_list(
    name: str, fields: Sequence[Field], *, needed: bool = True
) -> Field:
    """Require a list of objects with these fields."""
    return Field(
        name,
        lambda found: (
            isinstance(found, list)
            and not any(find_fault(one, fields) for one in found)
        ),
        'a list of tables',
        needed,
        lambda found: _fault_in_list(found, fields),
    )


def find_fault(found: object, fields: Sequence[Field]) -> str:
    """Return what is wrong with the first invalid field, or an empty text."""
    if not isinstance(found, dict):
        return f'is no table: {_shown(found)}'
    for field in fields:
        if field.name not in found:
            if field.needed:
                return f'{field.name} is missing'
        elif not field.check(found[field.name]):
            return field.fault(found[field.name])
    return ''


def _inner_fault(found: object, fields: Sequence[Field]) -> str:
    """Return what is wrong with a table, to be read after its name."""
    separator = '.' if isinstance(found, dict) else ' '
    return f'{separator}{find_fault(found, fields)}'


def _fault_in_list(found: object, fields: Sequence[Field]) -> str:
    if not isinstance(found, list):
        return ''
    for number, one in enumerate(found):
        if find_fault(one, fields):
            return f'[{number}]{_inner_fault(one, fields)}'
    return ''


def parse(
    payload: bytes,
    fields: Sequence[Field],
    code: str,
    object_hook: ObjectHook | None = None,
) -> Mapping[str, Any]:
    """Parse an object with these fields, or raise ConfigError with a code.

    `object_hook` may replace each object before it is checked.
    """
    try:
        found = json.loads(payload, object_hook=object_hook)
    except UNREADABLE as exc:
        raise ConfigError(code, repr(exc)) from exc
    fault = find_fault(found, fields)
    if fault:
        raise ConfigError(code, fault)
    return cast(Mapping[str, Any], found)


def is_header_text(found: object) -> bool:
    """Return whether a text can be sent as the value of a header."""
    return (
        isinstance(found, str)
        and bool(found)
        and _UNSENDABLE.search(found) is None
    )


def _shown(found: object) -> str:
    return repr(found)[:_MAX_SHOWN_CHARS]


def _is_text(found: object) -> bool:
    return isinstance(found, str) and bool(found)


def _is_integer(found: object) -> bool:
    return type(found) is int and abs(found) <= _MAX_INTEGER  # noqa: WPS516


def _is_whole(found: object) -> bool:
    if isinstance(found, float):
        return found.is_integer() and abs(found) <= _MAX_INTEGER
    return _is_integer(found)


def _is_number(found: object) -> bool:
    return _is_integer(found) or (
        isinstance(found, float) and math.isfinite(found) and found >= 0
    )


def _is_address(found: object) -> bool:
    if not isinstance(found, str):
        return False
    host, _, port = found.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= _MAX_PORT


def _are_texts(found: object) -> bool:
    return isinstance(found, list) and all(map(_is_text, found))
