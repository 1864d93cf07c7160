"""An independent, strict reader of whole HTTP/1 answers, to judge by.

It follows RFC 9112, sections 2 to 7, takes nothing that a recipient may merely
tolerate, and shares no code with the product.
"""

import dataclasses
import re

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
STATUS = re.compile(rb'HTTP/1\.([01]) ([1-5]\d\d) [\t\x20-\x7e\x80-\xff]*')
FIELD = re.compile(b'(' + TOKEN + rb'):([\t\x20-\x7e\x80-\xff]*)')
LENGTH = re.compile(rb'\d{1,18}')
QUOTED = (
    rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
)
EXTENSION = (
    rb'[\t ]*;[\t ]*'
    + TOKEN
    + rb'(?:[\t ]*=[\t ]*(?:'
    + TOKEN
    + b'|'
    + QUOTED
    + b'))?'
)
CHUNK = re.compile(b'([0-9A-Fa-f]{1,15})(?:' + EXTENSION + b')*')
CRLF = b'\r\n'
INTERIM_BELOW = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
SWITCHING = 101


class UnreadableError(Exception):
    """The bytes are no HTTP/1 answer."""


class UnfinishedError(Exception):
    """The bytes end before the answer does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Judged:
    """An answer as a strict reader has it."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """One head, and the bytes behind it."""

    minor: int
    status: int
    fields: list[tuple[bytes, bytes]]
    rest: bytes

    @property
    def lengths(self) -> list[bytes]:
        """Return the lengths that are told."""
        return self._values(b'content-length')

    @property
    def codings(self) -> list[bytes]:
        """Return the codings that are told."""
        return self._values(b'transfer-encoding')

    def _values(self, wanted: bytes) -> list[bytes]:
        return [text for name, text in self.fields if name.lower() == wanted]


def judge(octets: bytes) -> Judged:
    """Read the answer to a GET, behind interim heads.

    Raises UnreadableError, or UnfinishedError.
    """
    head = _head(octets)
    while head.status < INTERIM_BELOW:
        _check(head.status != SWITCHING, 'interim head')
        _check(not (head.lengths or head.codings), 'framed interim head')
        head = _head(head.rest)
    _check_framing(head)
    told = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in head.fields
    )
    return Judged(head.status, told, _body(head))


def _check_framing(head: Head) -> None:
    if head.codings:
        _check(head.minor > 0 and not head.lengths, 'both framings')
        _check(head.status != NO_CONTENT, 'coding without a body')
        codings = [one.lower() for one in head.codings]
        _check(codings == [b'chunked'], 'coding')
    _check(len(head.lengths) < 2, 'several lengths')
    _check(all(map(LENGTH.fullmatch, head.lengths)), 'length')


def _body(head: Head) -> bytes:
    if head.status in {NO_CONTENT, NOT_MODIFIED}:
        return b''
    if head.codings:
        return _chunks(head.rest)
    if not head.lengths:
        return head.rest
    size = int(head.lengths[0])
    if len(head.rest) < size:
        raise UnfinishedError
    return head.rest[:size]


def _check(is_sound: bool, what: str) -> None:
    if not is_sound:
        raise UnreadableError(what)


def _head(octets: bytes) -> Head:
    line, octets = _line(octets)
    found = STATUS.fullmatch(line)
    if found is None:
        raise UnreadableError(line)
    fields, rest = _fields(octets)
    return Head(int(found[1]), int(found[2]), fields, rest)


def _fields(octets: bytes) -> tuple[list[tuple[bytes, bytes]], bytes]:
    fields: list[tuple[bytes, bytes]] = []
    while True:
        line, octets = _line(octets)
        if not line:
            return fields, octets
        found = FIELD.fullmatch(line)
        if found is None:
            raise UnreadableError(line)
        fields.append((found[1], found[2].strip(b' \t')))


def _chunks(octets: bytes) -> bytes:
    body = b''
    size, octets = _chunk_size(octets)
    while size:
        end = octets[size : size + len(CRLF)]
        _check(CRLF.startswith(end), 'end of a chunk')
        if end != CRLF:
            raise UnfinishedError
        body += octets[:size]
        size, octets = _chunk_size(octets[size + len(CRLF) :])
    _fields(octets)
    return body


def _chunk_size(octets: bytes) -> tuple[int, bytes]:
    line, rest = _line(octets)
    found = CHUNK.fullmatch(line)
    if found is None:
        raise UnreadableError(line)
    return int(found[1], 16), rest


def _line(octets: bytes) -> tuple[bytes, bytes]:
    line, end, rest = octets.partition(b'\n')
    if not end:
        raise UnfinishedError
    if not line.endswith(b'\r'):
        raise UnreadableError(line)
    return line[:-1], rest
