"""Requests that libcurl sends, and what becomes of them."""

import dataclasses
import math
from typing import Any, Protocol

import pycurl

from linnetwood.wire.answerbounds import Pace

Headers = list[tuple[str, str]]

_UNUSED_LIMIT_MS = 3600000
HEAD_METHOD = 'HEAD'
# Headers that libcurl adds unless the caller sets or removes them.
_NOT_ADDED = ('Accept', 'User-Agent', 'Content-Type', 'Expect')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, which is sent without any change.

    With `keep` it may use a kept connection, on which libcurl may resend it, so
    the request must be repeatable. A total time of 0 sets no limit; the caller
    must detect silence then. The request is not sent after `send_by`, a time of
    the loop, even if its connection is made later than that. A long answer is
    read at its pace, if it has one.
    """

    host: str
    port: int
    method: str
    target: str
    headers: Headers
    body: bytes = b''
    connect_s: float = 1.0
    total_s: float = 10.0
    keep: bool = False
    send_by: float = math.inf
    pace: Pace | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """How a request ended.

    `whole` says whether the answer is complete, `connected` whether the request
    may have reached the server, and `fresh` whether a connection was opened for
    it.
    """

    whole: bool
    connected: bool
    detail: str = ''
    fresh: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """How much of a request was sent.

    `connected_s` is the time until it was connected, 0 if it never was.
    `written` counts the bytes of head and body that were written to the
    connection; they may not have left this VM.
    """

    connected_s: float = 0
    written: int = 0


class Receiver(Protocol):
    """Receive the parts of an answer."""

    def head(self, status: int, headers: Headers) -> None:
        """Receive the status and the headers."""

    def body(self, piece: bytes) -> None:
        """Receive a piece of the body."""

    def done(self, finish: Finish) -> None:
        """Receive how the request ended; nothing follows."""


_FIXED_OPTIONS = (
    (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
    (pycurl.NOSIGNAL, 1),
    (pycurl.PROXY, ''),
    # Chunks are decoded here, since libcurl's decoder takes malformed ones.
    (pycurl.HTTP_TRANSFER_DECODING, 0),
)


def prepare(handle: Any, req: Request) -> None:
    """Set what libcurl is to send for a request, without any change."""
    fresh = int(not req.keep)
    of_request = (
        (pycurl.URL, f'http://{req.host}:{req.port}/'),
        (pycurl.REQUEST_TARGET, _octets(req.target)),
        (pycurl.FRESH_CONNECT, fresh),
        (pycurl.FORBID_REUSE, fresh),
        # Its own limit would hold for a connection that was made while the
        # loop was held up.
        (pycurl.CONNECTTIMEOUT_MS, _UNUSED_LIMIT_MS),
        (pycurl.HTTPHEADER, list(_header_lines(req))),
    )
    for option, setting in (*_FIXED_OPTIONS, *of_request):
        handle.setopt(option, setting)
    _prepare_body(handle, req)


def _prepare_body(handle: Any, req: Request) -> None:
    if req.method == HEAD_METHOD:
        handle.setopt(pycurl.NOBODY, 1)
    elif req.body or req.method in {'POST', 'PUT', 'PATCH'}:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDSIZE, len(req.body))
        handle.setopt(pycurl.POSTFIELDS, req.body)
    handle.setopt(pycurl.CUSTOMREQUEST, req.method)


def _header_lines(req: Request) -> Any:
    given = {name.lower() for name, _ in req.headers}
    for name, text in req.headers:
        # libcurl omits a header without a value unless it ends in a semicolon.
        yield _octets(f'{name}: {text}' if text else f'{name};')
    for name in _NOT_ADDED:
        if name.lower() not in given:
            yield _octets(f'{name}:')


def _octets(text: str) -> bytes:
    """Return the bytes that a text of a caller, or of our own, stands for."""
    try:
        # As callers' heads are read, so that each byte is sent as it came.
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode()
