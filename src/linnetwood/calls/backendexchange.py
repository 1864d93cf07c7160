"""One exchange with an engine or service, from its head to its end."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Protocol

import pycurl

from linnetwood.wire.answerreader import AnswerReader
from linnetwood.wire.curl import ABORT, read_answer

VERSION_HEADER = 'X-Model-Version'
_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class BackendSink(Protocol):
    """Receive an answer piece by piece, without blocking."""

    def head(self, status: int, headers: list[str], version: str) -> None:
        """Receive the status, the headers and the answering version."""

    def body(self, piece: bytes) -> None:
        """Receive a piece of the body; raises WireError if nobody reads it."""

    @property
    def is_behind(self) -> bool:
        """Return whether pieces are held for a reader that is slower."""

    async def wait_until_read(self) -> None:
        """Wait until few bytes are held, or the reader has gone."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """Collect the head of one HTTP answer and forward its body."""

    sink: BackendSink
    check: Callable[['Exchange'], bool]
    # Sent in place of the method that curl is given; empty for that one.
    method: str = ''
    # Sent as it is; empty for the path of the URL.
    target: bytes = b''
    reader: AnswerReader = dataclasses.field(default_factory=AnswerReader)
    begun: bool = False
    is_wrong: bool = False
    # The call's time was over at the end.
    is_late: bool = False
    # None before and after the transfer.
    curl: pycurl.Curl | None = None
    resuming: asyncio.Task[None] | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Let curl send the request once, and pass the answer here."""
        self.curl = curl
        # Tornado's own callbacks may run in another order than curl's, and
        # can't end an answer.
        read_answer(curl, self.reader, _ignore_line, self.write)
        # If a kept connection ends without an answer, curl sends the request
        # again on a new one, though the server may have run it.
        curl.setopt(pycurl.FRESH_CONNECT, True)
        curl.setopt(pycurl.FORBID_REUSE, True)
        if self.method:
            curl.setopt(pycurl.CUSTOMREQUEST, self.method)
        if self.target:
            curl.setopt(pycurl.REQUEST_TARGET, self.target)

    @property
    def status(self) -> int:
        """Return the status, 0 ahead of a head."""
        return self.reader.head.status

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete, once it has ended."""
        return self.reader.is_whole

    def write(self, piece: bytes) -> bool:
        """Forward content; return whether the answer is the call's."""
        self.body(piece)
        # It may have no end.
        return not self.is_wrong

    def body(self, piece: bytes) -> None:
        """Forward a piece of the body, after the head."""
        if not self.begun:
            self.open()
        if not self.is_wrong:
            self.sink.body(piece)
            if self.sink.is_behind:
                self.pause()

    def pause(self) -> None:
        """Receive no more until the sink's reader has caught up."""
        if self.curl is None:
            return
        # At the end of a transfer curl refuses, and the rest comes at once.
        with contextlib.suppress(pycurl.error):
            self.curl.pause(pycurl.PAUSE_RECV)
            if self.resuming is None:
                self.resuming = asyncio.create_task(self.resume())

    async def resume(self) -> None:
        """Receive again once the sink's reader has caught up."""
        await self.sink.wait_until_read()
        self.resuming = None
        if self.curl is not None:
            with contextlib.suppress(pycurl.error):
                self.curl.pause(pycurl.PAUSE_CONT)

    def close(self) -> None:
        """Leave the handle of curl to other requests."""
        self.curl = None
        if self.resuming is not None:
            self.resuming.cancel()

    def open(self) -> None:
        """Pass the head to the sink if the answer belongs to the call."""
        self.begun = True
        self.is_wrong = not self.check(self)
        if not self.is_wrong:
            version = self.header_value(VERSION_HEADER)
            lines = [
                f'{name}: {text}' for name, text in self.reader.head.headers
            ]
            self.sink.head(self.status, end_to_end_headers(lines), version)

    def header_value(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        for key, text in self.reader.head.headers:
            if key.lower() == name.lower():
                return text
        return ''


def _ignore_line(_: bytes) -> None:
    """Do nothing: the reader keeps the head."""


def end_at_body(curl: pycurl.Curl) -> None:
    """Let curl end an answer at the first byte of its body."""
    curl.setopt(pycurl.WRITEFUNCTION, _take_nothing)


def _take_nothing(_: bytes) -> int:
    return ABORT


def end_to_end_headers(lines: list[str]) -> list[str]:
    """Drop the headers that concern a single connection."""
    return without_headers(lines, _HOP_HEADERS)


def without_headers(lines: list[str], names: frozenset[str]) -> list[str]:
    """Drop the headers of these names, in lower case."""
    return [
        line
        for line in lines
        if line.partition(':')[0].strip().lower() not in names
    ]
