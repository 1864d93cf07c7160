"""Run many HTTP requests through libcurl, each on a connection of its own.

A kept connection would let libcurl send a request again by itself when the
connection died before the first byte of its answer, and would let a surplus
answer appear in the place of the next. A connection that serves one request
rules out both; what it costs is in docs/design/platform.md.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol

import pycurl

Headers = list[tuple[str, str]]

_MILLISECONDS = 1000
_HEAD_METHOD = 'HEAD'
_INTERIM_BELOW = 200
_KEPT_HANDLES = 64
_OUT_OF_TIME = 'timed out'
# Linger on, for no time: what was not read yet is thrown away at both ends.
_RESET = struct.pack('ii', 1, 0)
# Headers that libcurl would add by itself; the caller's own go instead.
_NOT_ADDED = ('Accept', 'User-Agent', 'Content-Type', 'Expect')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, sent exactly as it stands here.

    With keep it may go over a connection that is kept, and libcurl may then
    send it again by itself: only for what may be asked twice. A total time of
    0 sets no limit: whoever sends it then watches for silence.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """How a request ended.

    Whole means that the answer came to its proper end; connected tells
    whether the request can have reached anybody at all, and fresh whether a
    connection was opened for it.
    """

    whole: bool
    connected: bool
    detail: str = ''
    fresh: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """How far a request came: seconds to its connection, 0 if it had none.

    Written are the bytes of its head and body that went into the connection;
    that they left this VM, or arrived, is not said.
    """

    connected_s: float = 0
    written: int = 0


class Receiver(Protocol):
    """Take in an answer as it comes."""

    def head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""

    def body(self, piece: bytes) -> None:
        """Take a piece of the body."""

    def done(self, finish: Finish) -> None:
        """Learn how it ended; nothing follows."""


class Transfer:
    """One request under way; what was sent of it is known when it is over."""

    __slots__ = (
        'descriptor',
        'handle',
        'headers',
        'in_head',
        'receiver',
        'sent',
        'status',
        'timer',
    )

    def __init__(self, receiver: Receiver) -> None:
        """Know nothing of the answer yet."""
        self.receiver = receiver
        self.sent = Sent()
        self.timer: asyncio.TimerHandle | None = None
        self.handle: Any = None
        self.descriptor = -1
        self.status = 0
        self.headers: Headers = []
        self.in_head = True

    def header_line(self, raw: bytes) -> None:
        """Take one line of a head; lines behind the body are left aside."""
        line = raw.decode('latin-1').rstrip('\r\n')
        if self.in_head and line:
            self._field(line)
        elif self.in_head:
            self._head_ends()

    def _field(self, line: str) -> None:
        if line.startswith('HTTP/') and not self.headers:
            # libcurl itself refuses a line without a number here.
            self.status = int(line.split(' ', 2)[1])
            return
        name, _, text = line.partition(':')
        self.headers.append((name, text.strip()))

    def _head_ends(self) -> None:
        if self.status < _INTERIM_BELOW:
            self.headers = []
            return
        self.in_head = False
        self.receiver.head(self.status, self.headers)


class CurlDriver:
    """Own libcurl's sockets and timer on the running loop."""

    def __init__(self) -> None:
        """Begin with nothing under way."""
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer: asyncio.TimerHandle | None = None
        self._by_handle: dict[Any, Transfer] = {}
        self._idle: list[Any] = []
        self._inside = False
        self._closed = False

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Send a request; the receiver hears of the answer from now on."""
        transfer = Transfer(receiver)
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        transfer.handle = handle
        self._by_handle[handle] = transfer
        _prepare(handle, req, transfer)
        if req.total_s:
            # libcurl's own limit would close plainly.
            limit_s = _at_least_one_ms(req.total_s) / _MILLISECONDS
            late = self._late
            transfer.timer = self._loop.call_later(limit_s, late, transfer)
        self._soon(self._add, handle)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Reset the connection at once; the receiver hears no more.

        A plain close would leave what is still on its way to arrive, and to be
        run. What has arrived already, a server that was paused may still read.
        """
        handle = transfer.handle
        if handle is None or handle not in self._by_handle:
            return
        transfer.in_head = False
        transfer.receiver = _DEAF
        _reset_on_close(transfer.descriptor)
        self._soon(self._drop, transfer)

    def close(self) -> None:
        """Cancel everything; nobody is to run what nobody waits for."""
        for transfer in list(self._by_handle.values()):
            self.cancel(transfer)
        self._closed = True
        self._cancel_timer()
        self._multi.close()

    def _late(self, transfer: Transfer) -> None:
        """End a request whose time is over."""
        if transfer.handle is None:
            return
        receiver = transfer.receiver
        connected = _connected(transfer.handle)
        fresh = _fresh(transfer.handle)
        self.cancel(transfer)
        receiver.done(Finish(False, connected, _OUT_OF_TIME, fresh))

    def _soon(self, step: Callable[[Any], None], subject: Any) -> None:
        # libcurl allows no change of its set from within its own callbacks.
        if self._inside:
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
        if transfer.timer is not None:
            transfer.timer.cancel()
        transfer.sent = _sent(handle)
        try:
            self._multi.remove_handle(handle)
        except pycurl.error:
            # It was never added.
            pass  # noqa: WPS420
        self._keep(handle)

    def _keep(self, handle: Any) -> None:
        handle.reset()
        if len(self._idle) < _KEPT_HANDLES:
            self._idle.append(handle)
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
            self._loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        else:
            self._loop.remove_reader(fd)
        if what & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)
        else:
            self._loop.remove_writer(fd)

    def _on_timer(self, wait_ms: int) -> None:
        self._cancel_timer()
        if wait_ms >= 0 and not self._closed:
            self._timer = self._loop.call_later(
                wait_ms / _MILLISECONDS,
                self._act,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _act(self, fd: int, events: int) -> None:
        if self._closed:
            return
        self._inside = True
        try:
            self._multi.socket_action(fd, events)
        finally:
            self._inside = False
        self._collect()

    def _collect(self) -> None:
        while not self._closed:
            left, good, bad = self._multi.info_read()
            for handle in good:
                self._finish(handle, 0, '')
            for handle, code, detail in bad:
                self._finish(handle, code, detail)
            if not left:
                return

    def _finish(self, handle: Any, code: int, detail: str) -> None:
        transfer = self._by_handle.get(handle)
        if transfer is None:
            return
        receiver = transfer.receiver
        connected = _connected(handle)
        fresh = _fresh(handle)
        self._drop(transfer)
        receiver.done(Finish(code == 0, connected, detail, fresh))


def _connected(handle: Any) -> bool:
    """Tell whether a request can have reached anybody."""
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


def _reset_on_close(descriptor: int) -> None:
    if descriptor < 0:
        return
    # A copy shares the connection's options, and closing it closes no more.
    with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as copy:
        copy.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


class _Deaf:
    """Hear nothing: the receiver of a cancelled request."""

    def head(self, status: int, headers: Headers) -> None:
        """Drop it."""

    def body(self, piece: bytes) -> None:
        """Drop it."""

    def done(self, finish: Finish) -> None:
        """Drop it."""


_DEAF = _Deaf()


_FIXED = (
    (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
    (pycurl.NOSIGNAL, 1),
    (pycurl.PROXY, ''),
)


def _prepare(handle: Any, req: Request, transfer: Transfer) -> None:
    fresh = int(not req.keep)
    of_request = (
        (pycurl.URL, f'http://{req.host}:{req.port}/'),
        (pycurl.REQUEST_TARGET, req.target),
        (pycurl.FRESH_CONNECT, fresh),
        (pycurl.FORBID_REUSE, fresh),
        (pycurl.CONNECTTIMEOUT_MS, _at_least_one_ms(req.connect_s)),
        (pycurl.HTTPHEADER, list(_header_lines(req))),
    )
    for option, setting in (*_FIXED, *of_request):
        handle.setopt(option, setting)
    _prepare_body(handle, req)
    _listen(handle, transfer)


def _listen(handle: Any, transfer: Transfer) -> None:
    # A cancelled request has another receiver by the time a piece comes.
    def piece(octets: bytes) -> None:  # noqa: WPS430
        transfer.receiver.body(octets)

    def opened(descriptor: int, _purpose: int) -> int:  # noqa: WPS430
        transfer.descriptor = descriptor
        return int(pycurl.SOCKOPT_OK)

    handle.setopt(pycurl.SOCKOPTFUNCTION, opened)
    handle.setopt(pycurl.HEADERFUNCTION, transfer.header_line)
    handle.setopt(pycurl.WRITEFUNCTION, piece)


def _prepare_body(handle: Any, req: Request) -> None:
    if req.method == _HEAD_METHOD:
        handle.setopt(pycurl.NOBODY, 1)
    elif req.body or req.method in {'POST', 'PUT', 'PATCH'}:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDSIZE, len(req.body))
        handle.setopt(pycurl.POSTFIELDS, req.body)
    handle.setopt(pycurl.CUSTOMREQUEST, req.method)


def _header_lines(req: Request) -> Any:
    given = {name.lower() for name, _ in req.headers}
    for name, text in req.headers:
        # libcurl drops a header without text unless it ends with a semicolon.
        yield f'{name}: {text}' if text else f'{name};'
    for name in _NOT_ADDED:
        if name.lower() not in given:
            yield f'{name}:'


def _at_least_one_ms(seconds: float) -> int:
    return max(1, int(seconds * _MILLISECONDS))
