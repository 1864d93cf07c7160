"""Write the answers of stand-in servers, with each framing that HTTP allows.

An answer without a length and without chunks ends with its connection.
"""

import dataclasses
import hashlib
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from linnetwood.lab.soak.endless import Order, hand_over

_CLOSING_SHARE = 4


class Answer(Protocol):
    """Write one answer: its head, its pieces and its end."""

    def begin(self) -> None:
        """Write the head with the headers set on the handler."""

    async def send(self, piece: str) -> None:
        """Write a piece of the body."""

    async def end(self) -> None:
        """End the answer as complete."""


class FramedAnswer:
    """Write an answer with a length, or in chunks if it streams."""

    def __init__(self, handler: RequestHandler, *, streams: bool) -> None:
        """Write to the connection of a handler."""
        self._handler = handler
        self._streams = streams

    def begin(self) -> None:
        """Leave the head to the first piece."""

    async def send(self, piece: str) -> None:
        """Write a chunk, or keep the only piece until the end."""
        self._handler.write(piece)
        if self._streams:
            await self._handler.flush()

    async def end(self) -> None:
        """Write the last chunk, or the whole answer."""
        await self._handler.finish()


class ClosingAnswer:
    """Write an answer that ends with its connection."""

    def __init__(self, handler: RequestHandler) -> None:
        """Take over the connection of a handler."""
        self._headers = handler._headers  # noqa: WPS437
        self._stream = handler.detach()
        # A connection that is not watched is not seen to close.
        self._stream.set_close_callback(_ignore_close)
        # Closed when the server crashes.
        handler.raw_stream = self._stream  # type: ignore[attr-defined]

    def begin(self) -> None:
        """Write the head."""
        lines = [f'{name}: {text}' for name, text in self._headers.get_all()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, 'Connection: close'])
        self._stream.write(f'{head}\r\n\r\n'.encode())

    async def send(self, piece: str) -> None:
        """Write a piece of the body."""
        await self._stream.write(piece.encode())

    async def end(self) -> None:
        """Close the connection."""
        self._stream.close()


class HeldAnswer:
    """Write an answer, but nothing while its server is silent."""

    def __init__(
        self, answer: Answer, wait_until_heard: Callable[[], Awaitable[None]]
    ) -> None:
        """Write by means of another answer."""
        self._answer = answer
        self._wait_until_heard = wait_until_heard

    def begin(self) -> None:
        """Write the head; the caller has waited."""
        self._answer.begin()

    async def send(self, piece: str) -> None:
        """Write a piece of the body."""
        await self._wait_until_heard()
        await self._answer.send(piece)

    async def end(self) -> None:
        """End the answer as complete."""
        await self._wait_until_heard()
        await self._answer.end()


def answer_of(
    handler: RequestHandler, call_id: str, *, streams: bool
) -> Answer:
    """Return the answer of a call; some calls' answers end by closing."""
    if _digest(call_id) % _CLOSING_SHARE == 0:
        return ClosingAnswer(handler)
    return FramedAnswer(handler, streams=streams)


def answers_without_end(call_id: str, period: int) -> bool:
    """Return whether a call is the one in some that has no end."""
    return bool(period) and _digest(call_id) % period == 0


def hand_over_call(handler: RequestHandler, path: str, order: Order) -> None:
    """Let another process answer a call on its connection."""
    headers = handler._headers  # noqa: WPS437
    lines = [f'{name}: {text}' for name, text in headers.get_all()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    stream = handler.detach()
    try:
        hand_over(path, dataclasses.replace(order, head=head), stream.socket)
    finally:
        stream.close()


def close_connection(handler: RequestHandler) -> None:
    """Close the connection of a call, whatever was sent on it."""
    raw_stream = getattr(handler, 'raw_stream', None)
    if raw_stream is None:
        conn = handler.request.connection
        raw_stream = conn.stream  # type: ignore[union-attr]
    raw_stream.close()


def check_connected(handler: RequestHandler) -> None:
    """Raise StreamClosedError if the client has disconnected."""
    raw_stream = getattr(handler, 'raw_stream', None)
    gone = getattr(handler, 'is_disconnected', False)
    if gone or (raw_stream is not None and raw_stream.closed()):
        raise StreamClosedError


def _digest(call_id: str) -> int:
    return hashlib.blake2b(call_id.encode(), digest_size=1).digest()[0]


def _ignore_close() -> None:
    """Do nothing."""
