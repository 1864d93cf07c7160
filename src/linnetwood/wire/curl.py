"""Tornado's curl client with strict answers, a clean close and conditions."""

from collections.abc import Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.ioloop import IOLoop

from linnetwood.wire.answerreader import AnswerReader
from linnetwood.wire.curlrequest import HEAD_METHOD
from linnetwood.wire.rawsockets import unread_bytes

# What ends a request when a callback returns it.
ABORT = 0
# Under this name the client keeps the reader of a handle's answer.
_READER = 'reader'
_INCOMPLETE = 'incomplete answer'


class SendCondition:
    """A condition that is checked just before a request is sent.

    By then it has a connection, which may have taken long.
    """

    def __init__(self, may_send: Callable[[], bool]) -> None:
        """Send nothing unless `may_send` returns True."""
        self._may_send = may_send

    def prepare(self, handle: Any) -> None:
        """Set the condition at the handle of a request."""
        handle.setopt(pycurl.PREREQFUNCTION, self._check)

    def _check(self, *_addresses: object) -> int:
        if self._may_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)


class QuietCurlClient(CurlAsyncHTTPClient):
    """Read whole answers strictly; ignore libcurl's callbacks after a close.

    Redirects are not followed: what another address answers was not asked for.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start without requests."""
        # Handles whose answers have no whole head yet.
        self._awaiting_heads: set[Any] = set()
        super().initialize(*args, **kwargs)

    def _curl_setup_request(
        self, handle: Any, request: Any, buffer: Any, headers: Any
    ) -> None:
        # Handles are used again, also for requests without a condition.
        handle.unsetopt(pycurl.PREREQFUNCTION)
        request.follow_redirects = False
        if request.streaming_callback is None:
            self._read_strictly(request, buffer, headers)
        super()._curl_setup_request(handle, request, buffer, headers)

    def _read_strictly(self, request: Any, buffer: Any, headers: Any) -> None:
        own_prepare = request.prepare_curl_callback

        def take_piece(piece: bytes) -> bool:  # noqa: WPS430
            if buffer.tell() + len(piece) > self.max_body_size:
                return False
            buffer.write(piece)
            return True

        def take_line(line: bytes) -> None:  # noqa: WPS430
            self._curl_header_callback(headers, request.header_callback, line)

        def prepare(handle: Any) -> None:  # noqa: WPS430
            has_body = request.method != HEAD_METHOD
            reader = AnswerReader(has_body=has_body)
            read_answer(handle, reader, take_line, take_piece)
            self._awaiting_heads.add(handle)
            if own_prepare is not None:
                own_prepare(handle)

        request.prepare_curl_callback = prepare
        # Chunks are decoded before any other coding could be.
        request.decompress_response = False

    def _handle_events(self, fd: int, events: int) -> None:
        if events & IOLoop.READ:
            self._see_heads(fd)
        super()._handle_events(fd, events)

    def _see_heads(self, fd: int) -> None:
        """Let the reader of a head see what has arrived of it."""
        for handle in tuple(self._awaiting_heads):
            reader = handle.info[_READER]
            if not reader.head.is_open:
                self._awaiting_heads.discard(handle)
            elif handle.getinfo(pycurl.ACTIVESOCKET) == fd:
                reader.see(unread_bytes(fd))

    def _finish(
        self,
        curl: Any,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        self._awaiting_heads.discard(curl)
        reader = curl.info.get(_READER)
        if not curl_error and reader is not None and not reader.is_whole:
            curl_error = pycurl.E_RECV_ERROR
            curl_message = _INCOMPLETE
        if curl_error and reader is not None and reader.fault:
            curl_message = reader.fault
        super()._finish(curl, curl_error, curl_message)

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def _handle_socket(self, *args: Any) -> None:
        if self._multi is not None:
            super()._handle_socket(*args)


def read_answer(
    handle: Any,
    reader: AnswerReader,
    take_line: Callable[[bytes], None],
    take_piece: Callable[[bytes], bool],
) -> None:
    """Let a reader check an answer, which ends at its first fault.

    It also ends where `take_piece` returns False.
    """

    def header(line: bytes) -> int | None:  # noqa: WPS430
        is_head = reader.head.is_open
        reader.add_line(line)
        if reader.fault:
            return ABORT
        if is_head:
            take_line(line)
        return None

    def write(octets: bytes) -> int | None:  # noqa: WPS430
        piece = reader.add_body(octets)
        is_taken = not piece or take_piece(piece)
        return ABORT if reader.fault or not is_taken else None

    handle.info[_READER] = reader
    handle.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
    handle.setopt(pycurl.HEADERFUNCTION, header)
    handle.setopt(pycurl.WRITEFUNCTION, write)
