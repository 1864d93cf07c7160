"""Run one attempt of a call at one endpoint."""

import asyncio
import dataclasses
import enum
import functools
import math
from collections.abc import Callable
from typing import Protocol

from linnetwood.calls.answerflow import AnswerFlow
from linnetwood.calls.dialect import Dialect, Verdict
from linnetwood.calls.heldbytes import HeldBytes
from linnetwood.calls.notices import Notice
from linnetwood.calls.slowreaders import MIN_HELD_UP_S
from linnetwood.core.sizes import MIB
from linnetwood.wire.answerreader import OVER_BOUNDS
from linnetwood.wire.curldriver import TIMED_OUT, CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Headers, Request, Sent
from linnetwood.wire.eventstream import EventSplitter
from linnetwood.wire.piecebuffer import PieceBuffer

# An answer, whole or streamed, and one event of a stream.
MAX_ANSWER_BYTES = 16777216
MAX_EVENT_BYTES = MIB
# Nobody gets the body of an answer that isn't the call's own.
_MAX_FOREIGN_BYTES = 65536
# Few answers, and no events of a stream, are larger.
_USUAL_BYTES = 262144
_NO_MEMORY = 'no memory for the answer'
_OK_BELOW = 300
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
_NEVER_BLOCKED = AnswerFlow()


class AnswerSink(Protocol):
    """Write one answer to a caller; `flow` shows whether the caller reads."""

    @property
    def flow(self) -> AnswerFlow:
        """Return when to pause receiving; by default, never."""
        return _NEVER_BLOCKED

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed answer."""

    def send_piece(self, piece: bytes) -> None:
        """Write a piece of the body of a streamed answer."""

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer: head and body."""

    def finish(self) -> None:
        """End a streamed answer."""

    def abort(self) -> None:
        """Close without an end, so that the answer can't look complete."""


def _ignore() -> None:
    """Do nothing by default."""


def _ignore_notice(notice: Notice) -> None:
    """Do nothing by default."""


def unbounded() -> float:
    """Return the bound of a call that may begin at any time."""
    return math.inf


class AttemptOutcome(enum.Enum):
    """How an attempt ended; the values are written to logs and metrics."""

    ANSWERED = 'answered'
    # It is certain that the endpoint did not run the call.
    NOT_RUN = 'not-run'
    # The endpoint answered with an error of its own.
    FAILED = 'failed'
    # The connection broke or the answer was invalid; the call may have run.
    LOST = 'lost'
    # It was cancelled, as its answer exceeded a bound; the call may have run.
    TOO_LARGE = 'too-large'
    # The endpoint was silent when another attempt took over.
    STALLED = 'stalled'
    # Another attempt took over, though the endpoint was not silent.
    OVERTAKEN = 'overtaken'
    # The deadline of the call passed.
    TIMED_OUT = 'timed-out'
    # Cancelled because the first event had not arrived by `start_by`.
    WITHDRAWN = 'taken-back'


# Attempts that were cancelled as another one went on with the answer.
ENDED_BY_OTHERS = frozenset((AttemptOutcome.STALLED, AttemptOutcome.OVERTAKEN))


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the answer unless it was streamed.

    `reached` says whether the request may have reached the endpoint.
    """

    outcome: AttemptOutcome
    reached: bool
    detail: str = ''
    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b''
    # The endpoint is another incarnation, or holds another version.
    misdirected: bool = False
    # Nothing but the end of its connection shows that the answer is whole.
    ends_with_connection: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint did what the call asks."""
        answered = self.outcome is AttemptOutcome.ANSWERED
        return answered and self.status < _OK_BELOW


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """When an attempt must end, and when its stream counts as silent.

    `deadline` and `start_by`, the latest time for the first event, are times of
    the loop's clock. A version that is named meanwhile brings `start_by`
    forward. `first_event_s` and `next_event_s` are the waits for the
    first event and between two events, in seconds, after which another attempt
    may be sent beside a silent one; by default none is.
    """

    deadline: float
    start_by: Callable[[], float]
    first_event_s: float = math.inf
    next_event_s: float = math.inf


class AnswerStream:
    """The answer as sent to the caller so far, over all attempts of a call."""

    __slots__ = ('begun', 'last_id', 'pieces', 'sink', 'version')

    def __init__(self, sink: AnswerSink, resume_after: str) -> None:
        """Start with nothing sent; resume after the given event id, if any."""
        self.sink = sink
        self.begun = False
        self.version = 0
        # The number of pieces that were sent.
        self.pieces = 0
        # The id of the last event that was sent.
        self.last_id = resume_after


class Attempt:
    """Receive one endpoint's answer, and forward the events that are whole."""

    def __init__(
        self,
        answer: AnswerStream,
        dialect: Dialect,
        call_id: str,
        *,
        streams: bool,
        clock_now: float,
        held: HeldBytes | None = None,
    ) -> None:
        """Expect a stream of events, or an answer to deliver complete."""
        # When anything arrived; until then, when it was sent.
        self.last_received_at = clock_now
        self.first_event_at = float()
        self.longest_gap_s = float()
        # Seconds for which a slow caller kept the endpoint waiting.
        self.paused_s = float()
        # Whether it has been silent for longer than its limits allow.
        self.silent = False
        # Whether its wait was compared with the prediction.
        self.wait_recorded = False
        self.on_start: Callable[[], None] = _ignore
        # Called before whole events are sent, and when the answer is complete.
        self.on_progress: Callable[[], None] = _ignore
        # Called when something arrives after a silence.
        self.on_resumed: Callable[[], None] = _ignore
        self.on_notice: Callable[[Notice], None] = _ignore_notice
        # The time of the loop since which bytes are held.
        self.held_since = float()
        self._loop = asyncio.get_running_loop()
        self._answer = answer
        self._dialect = dialect
        self._call_id = call_id
        self._streams = streams
        self._held = held or HeldBytes()
        self._paused_at = float()
        self._driver: CurlDriver | None = None
        self._transfer: Transfer | None = None
        self._splitter = EventSplitter()
        self._splitter.last_id = answer.last_id
        self._last_sent_at = float()
        self._pieces_at_end = 0
        self._verdict: Verdict | None = None
        self._status = 0
        self._headers: Headers = []
        self._pieces = PieceBuffer()
        self._size = 0
        # Bytes that are counted as held.
        self._held_bytes = 0
        self.fut: asyncio.Future[AttemptResult] = self._loop.create_future()

    def start(self, driver: CurlDriver, req: Request) -> None:
        """Send the request; `fut` gets the result."""
        self._driver = driver
        self._transfer = driver.begin(req, self)

    def close(self) -> None:
        """Cancel the request if it is in progress."""
        # Each of these may lead back here, and the answer would stay in memory
        # until such cycles are collected.
        self.on_start = _ignore
        self.on_progress = _ignore
        self.on_resumed = _ignore
        self.on_notice = _ignore_notice
        driver = self._driver
        if driver is None or self._transfer is None:
            return
        self._driver = None
        driver.cancel(self._transfer)
        self._hold(0)
        self._note_resumed()

    def abandon(self) -> None:
        """End the attempt, since another one goes on with the answer."""
        if not self.fut.done():
            outcome = AttemptOutcome.OVERTAKEN
            if self.silent:
                outcome = AttemptOutcome.STALLED
            self.fut.set_result(AttemptResult(outcome, reached=True))
        self.close()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are collected and not sent on."""
        return self._held_bytes

    @property
    def answer(self) -> object:
        """Return what stands for the answer, over all attempts of a call."""
        return self._answer.sink.flow

    @property
    def delays_call(self) -> bool:
        """Return False: what is collected waits for the endpoint."""
        return False

    def evict(self) -> None:
        """End it, since there is no memory for the answer."""
        if not self.fut.done():
            self._end_too_large(_NO_MEMORY)

    @property
    def sent(self) -> Sent:
        """Return how much of the request was sent, once it has ended."""
        return Sent() if self._transfer is None else self._transfer.sent

    def silent_at(self, limits: AttemptLimits) -> float:
        """Return when it counts as silent unless something arrives before."""
        if self._paused_at:
            return math.inf
        if self.first_event_at:
            return self.last_received_at + limits.next_event_s
        return self.last_received_at + limits.first_event_s

    def ends_at(self, limits: AttemptLimits) -> float:
        """Return when it must end."""
        # The first bytes of a body may be less than an event.
        if self._size or self._paused_at:
            return limits.deadline
        return min(limits.deadline, limits.start_by())

    def check_end(self, limits: AttemptLimits) -> None:
        """End the attempt if its time is over."""
        now = self._loop.time()
        if self.fut.done() or now < self.ends_at(limits):
            return
        outcome = AttemptOutcome.WITHDRAWN
        if now >= limits.deadline:
            outcome = AttemptOutcome.TIMED_OUT
        self.fut.set_result(AttemptResult(outcome, reached=True))

    def head(self, status: int, headers: Headers) -> None:
        """Classify the head, and report what it says about the endpoint."""
        self._note_received()
        self._status = status
        self._headers = headers
        self._verdict = self._dialect.verdict(status, headers, self._call_id)
        notice = self._dialect.notice(status, headers, self._call_id)
        if notice is not None:
            self.on_notice(notice)
        is_refused = self._verdict in {Verdict.NOT_RUN, Verdict.MISDIRECTED}
        if is_refused and not self.fut.done():
            # The head alone is enough, and its body may never come.
            self.fut.set_result(self._refused_result())

    def body(self, piece: bytes) -> None:
        """Forward whole events; collect the body of any other answer."""
        if self.fut.done():
            return
        self._note_received()
        self._size += len(piece)
        if self._is_forwarded:
            whole_events = self._splitter.feed(piece)
            partial_bytes = self._splitter.partial_bytes
            if partial_bytes != self._held_bytes:
                self._hold(partial_bytes)
            if whole_events and not self.fut.done():
                self._send(whole_events)
        else:
            self._pieces.add(piece)
            self._hold(self._pieces.size)
        if not self.fut.done():
            self._check_size()

    def done(self, finish: Finish) -> None:
        """Turn the end of the transfer into the result."""
        if self.fut.done():
            return
        result = self._result_of(finish)
        self.fut.set_result(result)
        self._pieces_at_end = self._answer.pieces
        # An answer that ends with its connection may turn out to be cut.
        if (
            result.outcome is AttemptOutcome.ANSWERED
            and not result.ends_with_connection
        ):
            self.on_progress()

    @property
    def was_overtaken(self) -> bool:
        """Return whether another attempt went on since this one ended."""
        return self._answer.pieces != self._pieces_at_end

    @property
    def has_head(self) -> bool:
        """Return whether the head of an answer arrived."""
        return bool(self._status)

    @property
    def is_long(self) -> bool:
        """Return whether an unusual size has arrived without an end."""
        size = self._splitter.partial_bytes + self._pieces.size
        return size > _USUAL_BYTES

    @property
    def was_held_up(self) -> bool:
        """Return whether the endpoint may have cut off the unread answer."""
        return self.paused_s >= MIN_HELD_UP_S

    def _note_received(self) -> None:
        self.last_received_at = self._loop.time()
        if self.silent:
            self.silent = False
            self.on_resumed()

    def _hold(self, size: int) -> None:
        """Count what is not forwarded yet as held."""
        added = size - self._held_bytes
        if not self._held_bytes:
            self.held_since = self._loop.time()
        self._held_bytes = size
        if added > 0:
            self._held.hold(self, added)
        else:
            self._held.release(self, -added)

    def _check_size(self) -> None:
        """End an attempt whose answer is too large."""
        is_foreign = self._verdict is Verdict.FOREIGN
        limit = _MAX_FOREIGN_BYTES if is_foreign else MAX_ANSWER_BYTES
        if self._size > limit:
            self._end_too_large('answer too large')
        elif self._splitter.partial_bytes > MAX_EVENT_BYTES:
            self._end_too_large('event too large')
        elif self._held_bytes > _USUAL_BYTES and self._held.is_full:
            self._end_too_large(_NO_MEMORY)

    def _end_too_large(self, detail: str) -> None:
        # Reset first: what follows would be read until the result is handled.
        self.close()
        self._pieces.take()
        self.fut.set_result(
            AttemptResult(AttemptOutcome.TOO_LARGE, reached=True, detail=detail)
        )

    @property
    def _is_forwarded(self) -> bool:
        return (
            self._streams
            and self._verdict is Verdict.ANSWER
            and self._status < _OK_BELOW
        )

    def _send(self, whole_events: bytes) -> None:
        self.on_progress()
        answer = self._answer
        if self.first_event_at:
            gap_s = self.last_received_at - self._last_sent_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_event_at = self.last_received_at
            self.on_start()
        self._last_sent_at = self.last_received_at
        if not answer.begun:
            answer.version = self._dialect.version(self._headers)
            headers = self._dialect.answer_headers(self._headers)
            # Not begun if this head can't be written.
            answer.sink.begin(self._status, headers)
            answer.begun = True
        answer.sink.send_piece(whole_events)
        answer.pieces += 1
        answer.last_id = self._splitter.last_id
        if answer.sink.flow.blocked and not self._paused_at:
            self._pause()

    def _pause(self) -> None:
        if self._driver is None or self._transfer is None:
            return
        self._paused_at = self._loop.time()
        self._driver.pause(self._transfer)
        self._answer.sink.flow.on_unblocked = functools.partial(
            self._resume_transfer, self._driver, self._transfer
        )

    def _resume_transfer(self, driver: CurlDriver, transfer: Transfer) -> None:
        self._answer.sink.flow.on_unblocked = _ignore
        self._note_resumed()
        driver.resume(transfer)

    def _note_resumed(self) -> None:
        """End a pause, which is neither silence nor a gap of the stream."""
        if self._paused_at:
            now = self._loop.time()
            self.paused_s += now - self._paused_at
            self._paused_at = float()
            self.last_received_at = now
            self._last_sent_at = now

    def _result_of(self, finish: Finish) -> AttemptResult:
        if finish.detail == TIMED_OUT and finish.connected:
            return AttemptResult(AttemptOutcome.TIMED_OUT, reached=True)
        if finish.detail in OVER_BOUNDS:
            return AttemptResult(
                AttemptOutcome.TOO_LARGE, reached=True, detail=finish.detail
            )
        if self._verdict is None or self._verdict is Verdict.FOREIGN:
            detail = finish.detail or 'foreign answer'
            outcome = (
                AttemptOutcome.LOST
                if finish.connected
                else AttemptOutcome.NOT_RUN
            )
            return AttemptResult(outcome, finish.connected, detail)
        if not finish.whole:
            return AttemptResult(
                AttemptOutcome.LOST, reached=True, detail=finish.detail
            )
        return self._complete_result()

    def _refused_result(self) -> AttemptResult:
        return AttemptResult(
            AttemptOutcome.NOT_RUN,
            reached=True,
            detail=f'status {self._status}',
            status=self._status,
            headers=self._headers,
            misdirected=self._verdict is Verdict.MISDIRECTED,
        )

    def _complete_result(self) -> AttemptResult:
        if self._is_forwarded:
            if self._splitter.has_partial:
                return AttemptResult(
                    AttemptOutcome.LOST,
                    reached=True,
                    detail='incomplete last event',
                )
            if not self._answer.begun and not self._answer.last_id:
                return AttemptResult(
                    AttemptOutcome.LOST, reached=True, detail='no event'
                )
            return AttemptResult(
                AttemptOutcome.ANSWERED,
                reached=True,
                status=self._status,
                headers=self._dialect.answer_headers(self._headers),
                ends_with_connection=_ends_with_connection(self._headers),
            )
        # An error can't follow the events that were sent, or end them.
        failed = self._verdict is Verdict.FAILED or self._answer.begun
        return AttemptResult(
            AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED,
            reached=True,
            detail=f'status {self._status}',
            status=self._status,
            headers=self._dialect.answer_headers(self._headers),
            body=self._pieces.take(),
            ends_with_connection=_ends_with_connection(self._headers),
        )


def _ends_with_connection(headers: Headers) -> bool:
    """Return whether an answer has neither a length nor chunks."""
    return not any(name.lower() in _FRAMING_HEADERS for name, _ in headers)
