"""The grammar of HTTP/1.1 answers, of RFC 9112, sections 2 to 7.

It takes nothing that a recipient may merely tolerate: what one reader tolerates
and the next reads otherwise lets bytes pass for an answer that is none.
"""

import re

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb'[\t\x20-\x7e\x80-\xff]'
_QUOTED = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\%b)*+"' % _TEXT
_EXTENSION = rb'[\t ]*;[\t ]*%b(?:[\t ]*=[\t ]*(?:%b|%b))?' % (
    _TOKEN,
    _TOKEN,
    _QUOTED,
)
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2}) %b*\r\n' % _TEXT,
)
_FIELD_LINE = re.compile(
    rb'(%b):[\t ]*(%b*?)[\t ]*\r\n' % (_TOKEN, _TEXT),
)
# More digits than any answer has bytes are refused as well.
_LENGTH = re.compile('[0-9]{1,18}')
_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,15})(?:%b)*+\r\n' % _EXTENSION,
)
# A line ahead of a chunk without extensions.
_PLAIN_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})\r\n')
_HEX = 16


def read_status_line(line: bytes) -> tuple[int, int] | None:
    """Return minor version and status, 100 to 599; None if it is malformed."""
    found = _STATUS_LINE.fullmatch(line)
    return None if found is None else (int(found[1]), int(found[2]))


def read_field(line: bytes) -> tuple[str, str] | None:
    """Return the name and the value of a field; None if it is malformed.

    A folded line is malformed, too: it begins with white space.
    """
    found = _FIELD_LINE.fullmatch(line)
    if found is None:
        return None
    return found[1].decode('ascii'), found[2].decode('latin-1')


def read_length(text: str) -> int | None:
    """Return a length in bytes; None if it is malformed."""
    return int(text) if _LENGTH.fullmatch(text) else None


def read_chunk_size(line: bytes) -> int | None:
    """Return the size that the line ahead of a chunk tells, or None."""
    found = _CHUNK_LINE.fullmatch(line)
    return None if found is None else int(found[1], _HEX)


def whole_chunk(octets: bytes) -> bytes:
    """Return the data of a chunk if the bytes are one, without extensions.

    Return nothing for any other bytes, also sound ones.
    """
    found = _PLAIN_CHUNK_LINE.match(octets)
    if found is None:
        return b''
    start = found.end()
    stop = start + int(found[1], _HEX)
    return octets[start:stop] if octets[stop:] == b'\r\n' else b''
