"""Run HTTP requests through libcurl, usually each on its own connection.

On a reused connection that dies before the first byte of the answer, libcurl
would resend the request, and a surplus answer could be taken for the next one.
With one connection per request neither can happen; docs/design/platform.md
states the cost.
"""

import asyncio
import math
import select
from collections.abc import Callable, Iterable
from typing import Any

import pycurl

from linnetwood.wire.answerbounds import AnswerBounds, Pace
from linnetwood.wire.answerreader import (
    HEAD_TOO_LARGE,
    TOO_MUCH_FRAMING,
    AnswerReader,
)
from linnetwood.wire.curlrequest import (
    HEAD_METHOD,
    Finish,
    Headers,
    Receiver,
    Request,
    Sent,
    prepare,
)
from linnetwood.wire.rawsockets import (
    limit_unread,
    reset_on_close,
    unread_bytes,
)

# Detail of a request that exceeded its total time limit.
TIMED_OUT = 'timed out'
# Detail of a request whose connection was not made in time.
CONNECT_TIMED_OUT = 'connect timed out'
# Detail of a request that was not sent, since its time to be sent had passed.
TOO_LATE_TO_SEND = 'too late to send'
_MILLISECONDS = 1000
# CURLE_TOO_LARGE: a line, or the whole head or trailer.
_TOO_LARGE_CODE = 100
# What a callback returns to end the request.
_ABORT = 0
_PAUSE = int(pycurl.WRITEFUNC_PAUSE)
_MAX_IDLE_HANDLES = 64
_LOOK_AGAIN_S = 0.05


class Transfer:
    """A request in progress; `sent` is set when it ends."""

    __slots__ = (
        'bounds',
        'connect_timer',
        'descriptor',
        'expired',
        'handle',
        'paused',
        'reader',
        'receiver',
        'sent',
        'timer',
        'yielding',
    )

    def __init__(
        self,
        receiver: Receiver,
        pace: Pace | None = None,
        *,
        has_body: bool = True,
    ) -> None:
        """Start without any part of the answer; HEAD requests get no body."""
        self.receiver = receiver
        self.sent = Sent()
        self.timer: asyncio.TimerHandle | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.handle: Any = None
        self.descriptor = -1
        self.expired = False
        self.reader = AnswerReader(has_body=has_body)
        self.bounds = AnswerBounds(pace)
        self.paused = False
        # Whether it waits for its next turn.
        self.yielding = False

    def header_line(self, raw: bytes) -> int | None:
        """Process a line of the head; end the request at a malformed one."""
        reader = self.reader
        self.bounds.add_line(len(raw))
        if reader.add_line(raw):
            self.receiver.head(reader.head.status, reader.head.headers)
        return self._abort() if reader.fault else None

    def body_piece(self, octets: bytes) -> int | None:
        """Process bytes of the body; end the request at malformed ones."""
        reader = self.reader
        chunks = reader.chunks
        piece = reader.add_body(octets)
        self.bounds.add_chunks(reader.chunks - chunks)
        if piece:
            self.receiver.body(piece)
        return self._abort() if reader.fault else None

    def _abort(self) -> int:
        reset_on_close(self.descriptor)
        return _ABORT


class CurlDriver:
    """Own libcurl's sockets and timer on the running loop."""

    def __init__(self) -> None:
        """Start without requests."""
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer: asyncio.TimerHandle | None = None
        self._by_handle: dict[Any, Transfer] = {}
        # Those with a connection.
        self._by_descriptor: dict[int, Transfer] = {}
        # Those that may read on in any action of libcurl.
        self._reading: set[Transfer] = set()
        self._idle_handles: list[Any] = []
        self._in_callback = False
        self._closed = False

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Send a request, and pass the answer to the receiver."""
        has_body = req.method != HEAD_METHOD
        transfer = Transfer(receiver, req.pace, has_body=has_body)
        handle = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        transfer.handle = handle
        prepare(handle, req)
        self._set_callbacks(handle, transfer)
        if req.send_by < math.inf:
            self._limit_sending(transfer, req.send_by)
        self._by_handle[handle] = transfer
        if req.total_s:
            # On libcurl's own timeout the connection would not be reset.
            limit_s = _at_least_one_ms(req.total_s) / _MILLISECONDS
            late = self._time_out
            transfer.timer = self._loop.call_later(limit_s, late, transfer)
        self._limit_connecting(transfer, req.connect_s)
        self._run_outside_callbacks(self._add, handle)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Reset the connection at once; the receiver gets nothing more.

        After a plain close, bytes on their way would still arrive and the call
        would run. A paused server may still read what has arrived already.
        """
        handle = transfer.handle
        if handle is None or handle not in self._by_handle:
            return
        transfer.receiver = _IGNORING_RECEIVER
        reset_on_close(transfer.descriptor)
        self._run_outside_callbacks(self._drop, transfer)

    def pause(self, transfer: Transfer) -> None:
        """Stop receiving; also allowed while the receiver gets a piece.

        What the server sends or does later is noticed only after `resume`; the
        total time of the request holds in any case.
        """
        if transfer.handle is not None and not transfer.paused:
            transfer.paused = True
            transfer.handle.pause(pycurl.PAUSE_RECV)

    def resume(self, transfer: Transfer) -> None:
        """Go on receiving; the receiver may get pieces at once."""
        self._run_outside_callbacks(self._resume, transfer)

    def close(self) -> None:
        """Cancel all requests, so that none runs without a caller."""
        for transfer in list(self._by_handle.values()):
            self.cancel(transfer)
        self._closed = True
        self._cancel_timer()
        self._multi.close()

    def _time_out(self, transfer: Transfer) -> None:
        """End a request after its total time."""
        if transfer.handle is None:
            return
        is_sent_late = not _connected(transfer.handle) and not _is_connecting(
            transfer
        )
        self._end(transfer, TOO_LATE_TO_SEND if is_sent_late else TIMED_OUT)

    def _end(self, transfer: Transfer, detail: str) -> None:
        receiver = transfer.receiver
        connected = _connected(transfer.handle)
        fresh = _fresh(transfer.handle)
        self.cancel(transfer)
        receiver.done(Finish(False, connected, detail, fresh))

    def _set_callbacks(self, handle: Any, transfer: Transfer) -> None:
        # Look up the receiver each time, since a cancellation replaces it.
        def piece(octets: bytes) -> int | None:  # noqa: WPS430
            # libcurl keeps bytes that are refused, and passes them on later.
            if transfer.paused:
                transfer.bounds.refuse_piece()
                return _PAUSE
            if not transfer.bounds.add_piece(len(octets)):
                self._yield_turn(transfer)
                return _PAUSE
            return transfer.body_piece(octets)

        def opened(descriptor: int, _purpose: int) -> int:  # noqa: WPS430
            limit_unread(descriptor)
            self._note_descriptor(transfer, descriptor)
            return int(pycurl.SOCKOPT_OK)

        handle.setopt(pycurl.SOCKOPTFUNCTION, opened)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.header_line)
        handle.setopt(pycurl.WRITEFUNCTION, piece)

    def _yield_turn(self, transfer: Transfer) -> None:
        """Let other requests go first, unless this one is paused anyway."""
        if not transfer.paused and not transfer.yielding:
            transfer.yielding = True
            wait_s = transfer.bounds.wait_s
            self._loop.call_later(wait_s, self._end_yield, transfer)

    def _end_yield(self, transfer: Transfer) -> None:
        transfer.yielding = False
        if transfer.handle is None:
            return
        bounds = transfer.bounds
        if not bounds.is_contentless:
            bounds.begin_turn()
        elif not self._may_read(transfer):
            return
        if not transfer.paused:
            self._continue(transfer)

    def _may_read(self, transfer: Transfer) -> bool:
        """End a request if a malformed head arrives, or framing alone."""
        reader = transfer.reader
        if not reader.head.is_open:
            transfer.bounds.begin_body_read()
            return True
        fault = TOO_MUCH_FRAMING
        if transfer.bounds.may_read(transfer.descriptor):
            reader.see(unread_bytes(transfer.descriptor))
            fault = reader.fault
        if fault:
            self._end(transfer, fault)
        return not fault

    def _pause_contentless(self) -> None:
        """Pause transfers whose last read was large and had no content.

        libcurl would read each of them on at any event of another.
        """
        for transfer in tuple(self._reading):
            if transfer.paused or not transfer.bounds.is_contentless:
                self._reading.discard(transfer)
            elif transfer.handle is None:
                self._reading.discard(transfer)
            elif not transfer.yielding:
                transfer.handle.pause(pycurl.PAUSE_RECV)
                self._yield_turn(transfer)

    def _limit_sending(self, transfer: Transfer, send_by: float) -> None:
        # libcurl calls this when it is connected and sends next.
        def may_send(*_addresses: object) -> int:  # noqa: WPS430
            transfer.expired = self._loop.time() > send_by
            if transfer.expired:
                return int(pycurl.PREREQFUNC_ABORT)
            return int(pycurl.PREREQFUNC_OK)

        transfer.handle.setopt(pycurl.PREREQFUNCTION, may_send)

    def _limit_connecting(self, transfer: Transfer, limit_s: float) -> None:
        transfer.connect_timer = self._loop.call_later(
            limit_s, self._check_connected, transfer, limit_s
        )

    def _check_connected(self, transfer: Transfer, limit_s: float) -> None:
        """End a request without a connection, unless it was made just now."""
        if transfer.handle is None or _connected(transfer.handle):
            return
        if _is_connecting(transfer):
            self._end(transfer, CONNECT_TIMED_OUT)
        elif transfer.descriptor < 0:
            self._limit_connecting(transfer, limit_s)
        else:
            # libcurl sees the connection in one of the next turns.
            self._limit_connecting(transfer, _LOOK_AGAIN_S)

    def _resume(self, transfer: Transfer) -> None:
        if transfer.handle is None or not transfer.paused:
            return
        transfer.paused = False
        if not transfer.yielding:
            self._continue(transfer)

    def _continue(self, transfer: Transfer) -> None:
        self._in_callback = True
        detail = ''
        try:
            # libcurl passes on what it holds before this returns.
            transfer.handle.pause(pycurl.PAUSE_CONT)
        except pycurl.error as exc:
            # What it held was refused.
            detail = transfer.reader.fault or str(exc)
        finally:
            self._in_callback = False
        if detail:
            self._end(transfer, detail)
        else:
            self._collect()

    def _run_outside_callbacks(
        self, step: Callable[[Any], None], subject: Any
    ) -> None:
        # libcurl allows no change of its handles within its own callbacks.
        if self._in_callback:
            self._loop.call_soon(step, subject)
        else:
            step(subject)

    def _add(self, handle: Any) -> None:
        if handle in self._by_handle and not self._closed:
            self._multi.add_handle(handle)

    def _drop(self, transfer: Transfer) -> None:
        handle = transfer.handle
        if handle is None or self._by_handle.pop(handle, None) is None:
            return
        transfer.handle = None
        self._forget_descriptor(transfer)
        for timer in (transfer.timer, transfer.connect_timer):
            if timer is not None:
                timer.cancel()
        transfer.sent = _sent(handle)
        try:
            self._multi.remove_handle(handle)
        except pycurl.error:
            # The handle was never added.
            pass  # noqa: WPS420
        self._recycle(handle)

    def _recycle(self, handle: Any) -> None:
        handle.reset()
        if len(self._idle_handles) < _MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        else:
            handle.close()

    def _on_socket(self, what: int, fd: int, multi: Any, extra: Any) -> None:
        if self._closed:
            return
        if what == pycurl.POLL_REMOVE:
            self._loop.remove_reader(fd)
            self._loop.remove_writer(fd)
            return
        if what & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._on_event, fd, pycurl.CSELECT_IN)
        else:
            self._loop.remove_reader(fd)
        if what & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._on_event, fd, pycurl.CSELECT_OUT)
        else:
            self._loop.remove_writer(fd)

    def _on_timer(self, wait_ms: int) -> None:
        self._cancel_timer()
        if wait_ms >= 0 and not self._closed:
            self._timer = self._loop.call_later(
                wait_ms / _MILLISECONDS,
                self._on_event,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_event(self, fd: int, events: int) -> None:
        if self._closed:
            return
        transfer = self._by_descriptor.get(fd) or self._reusing(fd)
        if transfer is not None and events == pycurl.CSELECT_IN:
            if not (transfer.yielding or self._may_read(transfer)):
                return
            self._reading.add(transfer)
        self._in_callback = True
        try:
            self._multi.socket_action(fd, events)
        finally:
            self._in_callback = False
        self._collect()
        if self._reading and not self._closed:
            self._pause_contentless()

    def _reusing(self, fd: int) -> Transfer | None:
        """Note a kept connection's new request, as it opened none."""
        if fd < 0:
            return None
        for handle, transfer in self._by_handle.items():
            is_unknown = transfer.descriptor < 0
            if is_unknown and handle.getinfo(pycurl.ACTIVESOCKET) == fd:
                self._note_descriptor(transfer, fd)
                return transfer
        return None

    def _note_descriptor(self, transfer: Transfer, descriptor: int) -> None:
        # libcurl may replace a kept connection that turns out to be dead.
        self._forget_descriptor(transfer)
        transfer.descriptor = descriptor
        self._by_descriptor[descriptor] = transfer

    def _collect(self) -> None:
        while not self._closed:
            left, good, bad = self._multi.info_read()
            self._forget_sockets((*good, *(failed[0] for failed in bad)))
            for handle in good:
                self._finish(handle, 0, '')
            for handle, code, detail in bad:
                self._finish(handle, code, detail)
            if not left:
                return

    def _forget_sockets(self, ended: Iterable[Any]) -> None:
        # libcurl has closed them, and a receiver of one request may cancel
        # another that has ended.
        for handle in ended:
            transfer = self._by_handle.get(handle)
            if transfer is not None:
                self._forget_descriptor(transfer)
                transfer.descriptor = -1

    def _forget_descriptor(self, transfer: Transfer) -> None:
        # Another request may use the same number already.
        if self._by_descriptor.get(transfer.descriptor) is transfer:
            self._by_descriptor.pop(transfer.descriptor)

    def _finish(self, handle: Any, code: int, detail: str) -> None:
        transfer = self._by_handle.get(handle)
        if transfer is None:
            return
        receiver = transfer.receiver
        connected = _connected(handle)
        fresh = _fresh(handle)
        self._drop(transfer)
        if transfer.expired:
            connected = False
            detail = TOO_LATE_TO_SEND
        elif code == _TOO_LARGE_CODE:
            detail = HEAD_TOO_LARGE
        detail = transfer.reader.fault or detail
        whole = code == 0 and transfer.reader.is_whole
        receiver.done(Finish(whole, connected, detail, fresh))
        # The receiver has the transfer, and both would stay in memory.
        transfer.receiver = _IGNORING_RECEIVER


def _connected(handle: Any) -> bool:
    """Return whether a request may have reached the server."""
    return bool(
        handle.getinfo(pycurl.CONNECT_TIME) > 0
        or handle.getinfo(pycurl.REQUEST_SIZE) > 0,
    )


def _fresh(handle: Any) -> bool:
    return bool(handle.getinfo(pycurl.NUM_CONNECTS) > 0)


def _sent(handle: Any) -> Sent:
    return Sent(
        handle.getinfo(pycurl.CONNECT_TIME),
        handle.getinfo(pycurl.REQUEST_SIZE),
    )


def _is_connecting(transfer: Transfer) -> bool:
    """Return whether the server has yet to accept the connection.

    After the loop was held up connecting may not have begun, or the connection
    may be made while libcurl has yet to see it.
    """
    descriptor = transfer.descriptor
    return descriptor >= 0 and not _is_writable(descriptor)


def _is_writable(descriptor: int) -> bool:
    """Return whether a socket that connects is connected, or has failed."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


class _IgnoringReceiver:
    """Ignore the answer to a cancelled request."""

    def head(self, status: int, headers: Headers) -> None:
        """Do nothing."""

    def body(self, piece: bytes) -> None:
        """Do nothing."""

    def done(self, finish: Finish) -> None:
        """Do nothing."""


_IGNORING_RECEIVER = _IgnoringReceiver()


def _at_least_one_ms(seconds: float) -> int:
    return max(1, int(seconds * _MILLISECONDS))
