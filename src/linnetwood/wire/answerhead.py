"""Parse the head of an HTTP answer line by line, as libcurl passes it on."""

from http import HTTPStatus

from linnetwood.wire.answergrammar import (
    read_field,
    read_length,
    read_status_line,
)

# Of all heads of one answer.
MAX_LINES = 1000
_LENGTH = 'content-length'
_CODING = 'transfer-encoding'
_CHUNKED = 'chunked'
_LINE_END = b'\r\n'
# Answers of HTTP/1.0 have no chunks.
_MIN_CHUNKED_MINOR = 1
_BODYLESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class AnswerHead:
    """The head of one answer, behind any interim heads.

    It is malformed, for good, once a line breaks the grammar or the framing of
    the body is ambiguous: what follows can't be told apart then.
    """

    __slots__ = (
        '_minor',
        'headers',
        'is_chunked',
        'is_cut',
        'is_malformed',
        'is_open',
        'length',
        'lines',
        'status',
    )

    def __init__(self) -> None:
        """Start before the first line."""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        # Whether more of the head is expected.
        self.is_open = True
        # Whether the connection ended within it.
        self.is_cut = False
        self.is_malformed = False
        self.is_chunked = False
        # Bytes of the body; None if the head tells none.
        self.length: int | None = None
        self.lines = 0
        self._minor = 0

    def add(self, raw: bytes) -> bool:
        """Process a line; return whether the head is complete with it.

        Lines behind the head are ignored: libcurl passes on trailers, which
        are read with the body.
        """
        if self.is_malformed or not self.is_open:
            return False
        self.lines += 1
        if not raw.endswith(b'\n'):
            # libcurl takes a lone CR before the connection's end as a line.
            self.is_cut = True
            return False
        if self.status and raw == _LINE_END:
            return self._end()
        if self.status:
            self._read_field(raw)
        else:
            self._read_status(raw)
        return False

    @property
    def has_body(self) -> bool:
        """Return whether an answer with this status has a body."""
        return self.status not in _BODYLESS

    def _read_status(self, raw: bytes) -> None:
        found = read_status_line(raw)
        if found is None:
            self.is_malformed = True
            return
        minor, status = found
        self._minor = minor
        self.status = status

    def _read_field(self, raw: bytes) -> None:
        field = read_field(raw)
        if field is None:
            self.is_malformed = True
            return
        self.headers.append(field)

    def _end(self) -> bool:
        if self.status < HTTPStatus.OK:
            self._end_interim()
            return False
        self._read_framing()
        self.is_open = False
        return not self.is_malformed

    def _end_interim(self) -> None:
        """Await the next head; no connection changes to another protocol."""
        frames_body = self._fields(_LENGTH) or self._fields(_CODING)
        switches = self.status == HTTPStatus.SWITCHING_PROTOCOLS
        self.is_malformed = bool(frames_body) or switches
        self.headers = []
        self.status = 0

    def _read_framing(self) -> None:
        lengths = self._fields(_LENGTH)
        codings = self._fields(_CODING)
        self.is_chunked = bool(codings)
        if lengths:
            self.length = read_length(lengths[0])
        self.is_malformed = (
            len(lengths) + len(codings) > 1
            or (bool(lengths) and self.length is None)
            or (self.is_chunked and not self._may_be_chunked(codings[0]))
        )

    def _may_be_chunked(self, coding: str) -> bool:
        return (
            coding.lower() == _CHUNKED
            and self._minor >= _MIN_CHUNKED_MINOR
            and self.status != HTTPStatus.NO_CONTENT
        )

    def _fields(self, wanted: str) -> list[str]:
        """Return the values of the fields of a name in lower case."""
        return [text for name, text in self.headers if name.lower() == wanted]
