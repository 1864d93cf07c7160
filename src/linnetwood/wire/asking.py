"""Send a request and wait for its whole answer."""

import asyncio
import dataclasses
from collections.abc import Callable

from linnetwood.core.waits import wait_for_event
from linnetwood.wire.curldriver import CurlDriver, Finish, Headers, Request

_NO_HEAD_S = -1.0
_REFUSED_FROM = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, or status 0 and how the request failed.

    The times are seconds from the request: to the end of the answer's head,
    negative if none came, and until it ended. The body holds what came of it
    also when the request failed.
    """

    status: int
    headers: Headers
    body: bytes
    finish: Finish
    head_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long an answer may be silent: until its body begins, and from then.

    While it flows it may take any time: an answer that is dropped then is as
    large when it is asked for again, or larger.
    """

    first_s: float
    silent_s: float


def _unheard() -> None:
    """Tell nobody."""


async def ask(
    driver: CurlDriver,
    req: Request,
    most_bytes: int,
    patience: Patience | None = None,
    heard: Callable[[], None] = _unheard,
) -> Answer:
    """Send a request and wait for its whole answer.

    With patience only silence ends it, and the request's total time does not
    count. Each piece of an answer that is no refusal is told to whoever wants
    to know that it flows.
    """
    whole = _Whole(most_bytes, heard)
    if patience is not None:
        req = dataclasses.replace(req, total_s=0)
    transfer = driver.begin(req, whole)
    try:
        return await whole.arrival(patience)
    finally:
        driver.cancel(transfer)


class _Whole:
    """Collect an answer for whoever waits for it."""

    def __init__(self, most_bytes: int, heard: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._fut: asyncio.Future[Answer] = self._loop.create_future()
        # Set as the body begins, since another limit counts then, and at last.
        self._stirred = asyncio.Event()
        self._began = self._loop.time()
        self._head_s = _NO_HEAD_S
        self._most = most_bytes
        self._heard = heard
        self._heard_at = self._loop.time()
        self._status = 0
        self._headers: Headers = []
        self._pieces: list[bytes] = []
        self._size = 0

    async def arrival(self, patience: Patience | None) -> Answer:
        """Wait until it is whole, has failed, or was silent for too long."""
        while patience is not None and not self._fut.done():
            silent_s = self._loop.time() - self._heard_at
            # A server that waits itself may send the head before it does.
            limit_s = patience.silent_s if self._size else patience.first_s
            if silent_s >= limit_s:
                self._silent(silent_s)
                break
            await wait_for_event(self._stirred, limit_s - silent_s)
            self._stirred.clear()
        return await self._fut

    def head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers
        self._head_s = self._passed_s()
        self._heard_at = self._loop.time()

    def body(self, piece: bytes) -> None:
        self._heard_at = self._loop.time()
        if not self._size:
            self._stirred.set()
        if self._status < _REFUSED_FROM:
            self._heard()
        self._size += len(piece)
        if self._size <= self._most:
            self._pieces.append(piece)
        else:
            self._fail(f'over {self._most} bytes')

    def done(self, finish: Finish) -> None:
        if not self._fut.done():
            status = self._status if finish.whole else 0
            self._settle(status, finish)

    def _silent(self, silent_s: float) -> None:
        self._fail(f'silent for {silent_s:.1f} s after {self._size} bytes')

    def _fail(self, detail: str) -> None:
        if not self._fut.done():
            # Whether the request reached anybody can't be known here.
            self._settle(0, Finish(whole=False, connected=True, detail=detail))

    def _settle(self, status: int, finish: Finish) -> None:
        self._fut.set_result(
            Answer(
                status,
                self._headers,
                b''.join(self._pieces),
                finish,
                self._head_s,
                self._passed_s(),
            ),
        )
        self._stirred.set()

    def _passed_s(self) -> float:
        return self._loop.time() - self._began
