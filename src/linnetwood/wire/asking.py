"""Send a request and wait for its whole answer."""

import asyncio
import dataclasses

from linnetwood.wire.curldriver import CurlDriver, Finish, Headers, Request

_NO_HEAD_S = -1.0


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


async def ask(
    driver: CurlDriver,
    req: Request,
    most_bytes: int,
) -> Answer:
    """Send a request and wait for its whole answer."""
    fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    began = asyncio.get_running_loop().time()
    transfer = driver.begin(req, _Whole(fut, most_bytes, began))
    try:
        return await fut
    finally:
        driver.cancel(transfer)


class _Whole:
    """Collect an answer for whoever waits for it."""

    def __init__(
        self,
        fut: 'asyncio.Future[Answer]',
        most_bytes: int,
        began: float,
    ) -> None:
        self._fut = fut
        self._began = began
        self._head_s = _NO_HEAD_S
        self._most = most_bytes
        self._status = 0
        self._headers: Headers = []
        self._pieces: list[bytes] = []
        self._size = 0

    def head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers
        self._head_s = self._passed_s()

    def body(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size <= self._most:
            self._pieces.append(piece)

    def done(self, finish: Finish) -> None:
        if self._fut.done():
            return
        whole = finish.whole and self._size <= self._most
        self._fut.set_result(
            Answer(
                self._status if whole else 0,
                self._headers,
                b''.join(self._pieces),
                finish,
                self._head_s,
                self._passed_s(),
            ),
        )

    def _passed_s(self) -> float:
        return self._fut.get_loop().time() - self._began
