"""Read one HTTP answer by the grammar, whatever libcurl makes of it.

libcurl has rules of its own for numbers, lists and lines. So heads and chunks
are read here as well, and an answer is whole only if both readers agree.
"""

import re

from linnetwood.wire.answerhead import MAX_LINES, AnswerHead
from linnetwood.wire.chunkedbody import ChunkedBody

# What is wrong with an answer.
MALFORMED_HEAD = 'malformed head'
MALFORMED_BODY = 'malformed body'
TOO_MUCH_FRAMING = 'too much framing'
HEAD_TOO_LARGE = 'head too large'
# Of those, what exceeds a bound.
OVER_BOUNDS = frozenset((TOO_MUCH_FRAMING, HEAD_TOO_LARGE))

_HEAD_END = b'\r\n\r\n'
_HEAD_START = b'HTTP/'
_FOLD = re.compile(rb'\n[\t ]')


class AnswerReader:
    """Check the lines of a head and decode the body behind it.

    `fault` says what is wrong, and is empty until then.
    """

    __slots__ = ('_chunked', '_has_body', '_seen_end', '_size', 'fault', 'head')

    def __init__(self, *, has_body: bool = True) -> None:
        """Start before the head; answers to HEAD have no body."""
        self.head = AnswerHead()
        self.fault = ''
        self._has_body = has_body
        self._chunked: ChunkedBody | None = None
        # Bytes of content.
        self._size = 0
        # The last bytes that were seen of the head.
        self._seen_end = b''

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete, once it has ended.

        One with neither a length nor chunks is, wherever it ended.
        """
        head = self.head
        if self.fault or head.is_open or head.is_cut:
            return False
        if not (self._has_body and head.has_body):
            return True
        if self._chunked is not None:
            return self._chunked.is_complete
        return head.length in {None, self._size}

    @property
    def chunks(self) -> int:
        """Return how many chunks were read."""
        return 0 if self._chunked is None else self._chunked.chunks

    def see(self, arrived: bytes) -> None:
        """Look at bytes of the head as they arrived, ahead of libcurl.

        It joins folded lines, and a field could hide in one.
        """
        seen = self._seen_end + arrived
        self._seen_end = seen[1 - len(_HEAD_END) :]
        if _has_folded_line(seen):
            self.fault = MALFORMED_HEAD

    def add_line(self, raw: bytes) -> bool:
        """Process a line of the head; return whether it is complete."""
        head = self.head
        is_complete = head.add(raw)
        if head.is_malformed:
            self.fault = MALFORMED_HEAD
        elif head.lines > MAX_LINES:
            self.fault = HEAD_TOO_LARGE
        if is_complete and head.is_chunked:
            self._chunked = ChunkedBody()
        return is_complete

    def add_body(self, octets: bytes) -> bytes:
        """Return the content in bytes of the body, up to what is wrong."""
        if self.head.is_open:
            # libcurl takes any line that begins with CR as a head's end.
            self.fault = MALFORMED_HEAD
            return b''
        piece = octets
        if self._chunked is not None:
            piece = self._chunked.feed(octets)
            self._check_chunks(self._chunked)
        self._size += len(piece)
        return piece

    def _check_chunks(self, chunked: ChunkedBody) -> None:
        if chunked.is_malformed:
            self.fault = MALFORMED_BODY
        elif chunked.has_excess_framing:
            self.fault = TOO_MUCH_FRAMING


def _has_folded_line(seen: bytes) -> bool:
    """Return whether a head among some bytes has a line that goes on."""
    while True:
        head, is_ended, rest = seen.partition(_HEAD_END)
        if _FOLD.search(head):
            return True
        # Behind an interim head there is another one.
        if not (is_ended and rest.startswith(_HEAD_START)):
            return False
        seen = rest
