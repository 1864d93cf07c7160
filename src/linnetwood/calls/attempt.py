"""One attempt of a call at one endpoint."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from linnetwood.calls.dialect import Dialect, Verdict
from linnetwood.calls.notices import Notice
from linnetwood.wire.curldriver import (
    CurlDriver,
    Finish,
    Headers,
    Request,
    Sent,
)
from linnetwood.wire.eventstream import EventCutter

MOST_ANSWER_BYTES = 16777216
_OK_BELOW = 300


class Caller(Protocol):
    """Write an answer to a caller."""

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer that comes in pieces."""

    def piece(self, piece: bytes) -> None:
        """Write a piece."""

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""

    def finish(self) -> None:
        """End an answer that came in pieces."""

    def abort(self) -> None:
        """Close without an end, so that the answer can't look whole."""


def _nothing() -> None:
    """Tell nobody."""


def _unnoticed(notice: Notice) -> None:
    """Tell nobody."""


class How(enum.Enum):
    """Say how an attempt ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    LOST = 'lost'
    STALLED = 'stalled'
    TIMED_OUT = 'timed-out'
    TAKEN_BACK = 'taken-back'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, and a failure that could be passed on."""

    how: How
    reached: bool
    detail: str = ''
    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Until when an attempt may last, and how long it may be silent.

    Times of the loop's clock; seconds before the first event and the next.
    """

    until: float
    start_by: float
    first_s: float
    next_s: float


class Relay:
    """What has gone out to the caller, over all attempts of a call."""

    __slots__ = ('begun', 'caller', 'cutter', 'version')

    def __init__(self, caller: Caller, resume_after: str) -> None:
        """Begin before the first byte."""
        self.caller = caller
        self.begun = False
        self.version = 0
        self.cutter = EventCutter()
        self.cutter.last_id = resume_after


class Attempt:
    """Take one endpoint's answer in, and pass on what may go out."""

    def __init__(
        self,
        relay: Relay,
        dialect: Dialect,
        call_id: str,
        *,
        streams: bool,
        clock_now: float,
    ) -> None:
        """Expect a stream of events, or an answer to pass on whole."""
        self.last_heard = clock_now
        self.first_heard = float()
        self.sent = Sent()
        self.longest_gap_s = float()
        self.started: Callable[[], None] = _nothing
        self.noticed: Callable[[Notice], None] = _unnoticed
        self._loop = asyncio.get_running_loop()
        self._relay = relay
        self._dialect = dialect
        self._call_id = call_id
        self._streams = streams
        self._sent_at = float()
        self._verdict: Verdict | None = None
        self._status = 0
        self._headers: Headers = []
        self._pieces: list[bytes] = []
        self._size = 0
        self.fut: asyncio.Future[AttemptEnd] = self._loop.create_future()

    async def run(
        self,
        driver: CurlDriver,
        req: Request,
        bounds: 'Bounds',
    ) -> AttemptEnd:
        """Send the request and see it through to an end."""
        transfer = driver.begin(req, self)
        try:
            while not self.fut.done():
                wait_s = max(0, self._wake_at(bounds) - self._loop.time())
                # Once an event has come it is due sooner than the first was.
                wait_s = min(wait_s, bounds.next_s)
                await asyncio.wait((self.fut,), timeout=wait_s)
                self._watch(bounds)
        finally:
            driver.cancel(transfer)
            self.sent = transfer.sent
        return self.fut.result()

    def head(self, status: int, headers: Headers) -> None:
        """Judge the head; a stream that is an answer begins to go out."""
        self.last_heard = self._loop.time()
        self._status = status
        self._headers = headers
        self._verdict = self._dialect.verdict(status, headers, self._call_id)
        notice = self._dialect.notice(status, headers, self._call_id)
        if notice is not None:
            self.noticed(notice)

    def body(self, piece: bytes) -> None:
        """Pass whole events on; collect everything else."""
        self.last_heard = self._loop.time()
        self._size += len(piece)
        if self._passes_on:
            whole = self._relay.cutter.feed(piece)
            if whole:
                self._send(whole)
        elif self._size <= MOST_ANSWER_BYTES:
            self._pieces.append(piece)

    def done(self, finish: Finish) -> None:
        """Learn how the answer ended."""
        if not self.fut.done():
            self.fut.set_result(self._end(finish))

    @property
    def _passes_on(self) -> bool:
        return (
            self._streams
            and self._verdict is Verdict.ANSWER
            and self._status < _OK_BELOW
        )

    def _send(self, whole: bytes) -> None:
        relay = self._relay
        if self.first_heard:
            gap_s = self.last_heard - self._sent_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_heard = self.last_heard
            self.started()
        self._sent_at = self.last_heard
        if not relay.begun:
            relay.begun = True
            relay.version = self._dialect.version(self._headers)
            headers = self._dialect.answer_headers(self._headers)
            relay.caller.begin(self._status, headers)
        relay.caller.piece(whole)

    def _end(self, finish: Finish) -> AttemptEnd:
        if self._verdict is None or self._verdict is Verdict.FOREIGN:
            detail = finish.detail or 'foreign answer'
            how = How.LOST if finish.connected else How.NOT_RUN
            return AttemptEnd(how, finish.connected, detail)
        if self._verdict is Verdict.NOT_RUN:
            # The head alone says so; the rest of it does not matter.
            return AttemptEnd(
                How.NOT_RUN,
                reached=True,
                detail=f'status {self._status}',
                status=self._status,
                headers=self._headers,
            )
        if not finish.whole or self._size > MOST_ANSWER_BYTES:
            return AttemptEnd(How.LOST, reached=True, detail=finish.detail)
        return self._whole()

    def _whole(self) -> AttemptEnd:
        if self._passes_on:
            if self._relay.cutter.half:
                return AttemptEnd(How.LOST, reached=True, detail='half event')
            if not self._relay.begun:
                return AttemptEnd(How.LOST, reached=True, detail='no event')
            return AttemptEnd(How.ANSWERED, reached=True, status=self._status)
        failed = self._verdict is Verdict.FAILED
        return AttemptEnd(
            How.FAILED if failed else How.ANSWERED,
            reached=True,
            detail=f'status {self._status}',
            status=self._status,
            headers=self._dialect.answer_headers(self._headers),
            body=b''.join(self._pieces),
        )

    def _wake_at(self, bounds: 'Bounds') -> float:
        if self.first_heard:
            return min(bounds.until, self.last_heard + bounds.next_s)
        first = self.last_heard + bounds.first_s
        return min(bounds.until, first, bounds.start_by)

    def _watch(self, bounds: 'Bounds') -> None:
        now = self._loop.time()
        if self.fut.done() or now < self._wake_at(bounds):
            return
        how = How.STALLED
        if now >= bounds.until:
            how = How.TIMED_OUT
        elif not self.first_heard and now >= bounds.start_by:
            how = How.TAKEN_BACK
        self.fut.set_result(AttemptEnd(how, reached=True))
