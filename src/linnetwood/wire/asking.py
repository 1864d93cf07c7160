"""Send an HTTP request and wait for the complete answer."""

import asyncio
import dataclasses
from collections.abc import Callable

from linnetwood.core.waits import wait_for_event
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Finish, Headers, Request

_NO_HEAD_S = -1.0
_ERROR_FROM = 300
# A server writes pieces of a KB or more, few of which arrive divided. Each
# piece costs the same time, so tiny ones would keep the event loop busy.
_FREE_PIECES = 4096
_MIN_PIECE_BYTES = 64
# A link that is narrowed carries more than this. A server that sends less, but
# is never silent, would hold its reader for hours.
_MIN_BYTES_PER_S = 256
_SLOW_START_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, or status 0 and how the request failed.

    Times are in seconds since the request: to the end of the answer's head,
    negative without one, and to the end of the answer. The body holds what was
    received even if the request failed.
    """

    status: int
    headers: Headers
    body: bytes
    finish: Finish
    head_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceLimits:
    """The longest silence before the body of an answer, and within it, in s.

    As long as bytes arrive, be it slowly, an answer may take any time: if it
    were abandoned, the answer to the next request would be as large or larger.
    """

    first_s: float
    silent_s: float


def _ignore_bytes() -> None:
    """Do nothing by default."""


async def ask(
    driver: CurlDriver,
    req: Request,
    max_bytes: int,
    limits: SilenceLimits | None = None,
    on_bytes: Callable[[], None] = _ignore_bytes,
) -> Answer:
    """Send a request and wait for its complete answer.

    With limits only silence ends it, and the request's total time does not
    apply. `on_bytes` is called for each piece of the body, unless the status is
    an error.
    """
    collector = _AnswerCollector(max_bytes, on_bytes)
    if limits is not None:
        req = dataclasses.replace(req, total_s=0)
    transfer = driver.begin(req, collector)
    try:
        return await collector.wait(limits)
    finally:
        driver.cancel(transfer)


class _AnswerCollector:
    """Collect the parts of an answer."""

    def __init__(self, max_bytes: int, on_bytes: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._fut: asyncio.Future[Answer] = self._loop.create_future()
        # Set when the body begins, since another limit applies then, and when
        # the answer ends.
        self._progress = asyncio.Event()
        self._started_at = self._loop.time()
        self._body_began_at = float()
        self._head_s = _NO_HEAD_S
        self._max_bytes = max_bytes
        self._on_bytes = on_bytes
        self._last_received_at = self._loop.time()
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._size = 0
        self._pieces = 0

    async def wait(self, limits: SilenceLimits | None) -> Answer:
        """Wait until it is complete, has failed, or was silent for too long."""
        while limits is not None and not self._fut.done():
            silent_s = self._loop.time() - self._last_received_at
            # A server may send the head before it waits for the content.
            limit_s = limits.silent_s if self._size else limits.first_s
            if silent_s >= limit_s:
                self._time_out(silent_s)
                break
            if self._is_trickling:
                self._fail(f'{self._size} bytes in {self._body_s:.0f} s')
                break
            await wait_for_event(self._progress, limit_s - silent_s)
            self._progress.clear()
        return await self._fut

    def head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers
        self._head_s = self._elapsed_s()
        self._last_received_at = self._loop.time()

    def body(self, piece: bytes) -> None:
        if self._fut.done():
            return
        self._last_received_at = self._loop.time()
        if not self._size:
            self._body_began_at = self._last_received_at
            self._progress.set()
        if self._status < _ERROR_FROM:
            self._on_bytes()
        self._size += len(piece)
        self._pieces += 1
        if self._size > self._max_bytes:
            self._fail(f'over {self._max_bytes} bytes')
        elif self._is_in_tiny_pieces:
            self._fail(f'{self._pieces} pieces in {self._size} bytes')
        else:
            self._body += piece

    def done(self, finish: Finish) -> None:
        if not self._fut.done():
            status = self._status if finish.whole else 0
            self._set_result(status, finish)

    @property
    def _is_in_tiny_pieces(self) -> bool:
        return (self._pieces - _FREE_PIECES) * _MIN_PIECE_BYTES > self._size

    @property
    def _is_trickling(self) -> bool:
        slow_s = self._body_s - _SLOW_START_S
        return slow_s * _MIN_BYTES_PER_S > self._size

    @property
    def _body_s(self) -> float:
        began_at = self._body_began_at
        return self._loop.time() - began_at if self._size else 0

    def _time_out(self, silent_s: float) -> None:
        self._fail(f'silent for {silent_s:.1f} s after {self._size} bytes')

    def _fail(self, detail: str) -> None:
        if not self._fut.done():
            # Whether the request reached a server can't be known here.
            self._set_result(
                0, Finish(whole=False, connected=True, detail=detail)
            )

    def _set_result(self, status: int, finish: Finish) -> None:
        self._fut.set_result(
            Answer(
                status,
                self._headers,
                bytes(self._body),
                finish,
                self._head_s,
                self._elapsed_s(),
            ),
        )
        self._progress.set()

    def _elapsed_s(self) -> float:
        return self._loop.time() - self._started_at
