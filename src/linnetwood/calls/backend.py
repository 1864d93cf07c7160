"""HTTP clients for the one engine or plain service of the VM."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Protocol
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from linnetwood.core.outcomes import ANSWERED, Code, Ending, not_run, unknown
from linnetwood.gen.wire.ttypes import Start
from linnetwood.wire.http import NO_ANSWER, fetch

CALL_HEADER = 'X-Call'
VERSION_HEADER = 'X-Model-Version'
_BUSY = 503
_NOT_FOUND = 404
_MILLISECONDS = 1000
_CANCEL_TIMEOUT_S = 2.0
# Timers of curl may fire so much earlier than those of the loop.
_TIMER_S = 0.01
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
_REQUEST_ONLY_HEADERS = frozenset(('host', 'content-length', 'expect'))
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


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


class Backend(Protocol):
    """Run calls on the engine or service of this VM."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call and give its ending."""

    async def cancel(self, call_id: str) -> None:
        """Stop a call whose caller has gone."""


def end_to_end_headers(lines: list[str]) -> list[str]:
    """Drop the headers that concern a single connection."""
    return _without_headers(lines, _HOP_HEADERS)


def _without_headers(lines: list[str], names: frozenset[str]) -> list[str]:
    return [
        line
        for line in lines
        if line.partition(':')[0].strip().lower() not in names
    ]


@dataclasses.dataclass(slots=True)
class _Exchange:
    """Collect the head of one HTTP answer and forward its body."""

    sink: BackendSink
    check: Callable[['_Exchange'], bool]
    # Sent in place of the method that curl is given; empty for that one.
    method: str = ''
    # Sent as it is; empty for the path of the URL.
    target: bytes = b''
    status: int = 0
    lines: list[str] = dataclasses.field(default_factory=list)
    begun: bool = False
    is_wrong: bool = False
    # The call's time was over at the end.
    is_late: bool = False
    # None before and after the transfer.
    curl: pycurl.Curl | None = None
    resuming: asyncio.Task[None] | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Let curl send the request once, and pass each header line here."""
        self.curl = curl
        curl.setopt(pycurl.HEADERFUNCTION, self.header)
        # If a kept connection ends without an answer, curl sends the request
        # again on a new one, though the server may have run it.
        curl.setopt(pycurl.FRESH_CONNECT, True)
        curl.setopt(pycurl.FORBID_REUSE, True)
        if self.method:
            curl.setopt(pycurl.CUSTOMREQUEST, self.method)
        if self.target:
            curl.setopt(pycurl.REQUEST_TARGET, self.target)

    def header(self, line: bytes) -> None:
        """Receive a status or header line."""
        text = line.decode('latin1').rstrip('\r\n')
        if text.startswith('HTTP/') and not self.begun:
            self.status = int(text.split(' ')[1])
            self.lines = []
        elif text:
            self.lines.append(text)

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
            self.sink.head(self.status, end_to_end_headers(self.lines), version)

    def header_value(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        for line in self.lines:
            key, _, text = line.partition(':')
            if key.lower() == name.lower():
                return text.strip()
        return ''


class _HttpBackend:
    """HTTP exchange that engines and services have in common."""

    def __init__(self, url: str, client: AsyncHTTPClient) -> None:
        """Send requests to the back end at a URL."""
        self._url = url.rstrip('/')
        self._client = client

    async def cancel(self, call_id: str) -> None:
        """Do nothing: a plain service finishes the calls it has begun."""

    async def _exchange(
        self,
        start: Start,
        req: HTTPRequest,
        exchange: _Exchange,
    ) -> HTTPResponse:
        # Tornado's own header callback may run after the one for the body.
        req.prepare_curl_callback = exchange.prepare
        req.streaming_callback = exchange.body
        req.follow_redirects = False
        req.decompress_response = False
        req.request_timeout = max(1, start.deadline_ms) / _MILLISECONDS
        loop = asyncio.get_running_loop()
        late_at = loop.time() + req.request_timeout - _TIMER_S
        try:
            reply = await fetch(self._client, req)
        finally:
            exchange.close()
        exchange.is_late = loop.time() > late_at
        if not exchange.begun and not _is_lost(reply):
            exchange.open()
        return reply


class ServiceBackend(_HttpBackend):
    """Forward calls to a plain service byte for byte."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call."""
        exchange = _Exchange(sink, lambda _: True)
        # Curl would change some paths, and refuse others.
        path = start.path.removeprefix('/')
        target = f'{urlsplit(self._url).path}/{path}'
        exchange.target = target.encode('latin1')
        method = start.method
        if method == 'GET' and body:
            # The client refuses this, and sends any other method with a body.
            exchange.method = method
            method = 'PATCH'
        headers = HTTPHeaders()
        for line in _without_headers(
            end_to_end_headers(start.headers), _REQUEST_ONLY_HEADERS
        ):
            name, _, text = line.partition(':')
            headers.add(name.strip(), text.strip())
        req = HTTPRequest(
            self._url,
            method=method,
            headers=headers,
            body=_sent_body(method, body),
            allow_nonstandard_methods=True,
        )
        reply = await self._exchange(start, req, exchange)
        return _ending(reply, exchange)


class EngineBackend(_HttpBackend):
    """Stream a generation from the model engine."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call if the engine serves the version it is pinned to."""
        exchange = _Exchange(
            sink,
            lambda found: _is_own_answer(found, start),
        )
        req = HTTPRequest(
            f'{self._url}/generate',
            method='POST',
            body=body,
            headers={
                CALL_HEADER: start.call_id,
                'traceparent': start.traceparent,
            },
        )
        reply = await self._exchange(start, req, exchange)
        if reply.code in {_BUSY, _NOT_FOUND}:
            return not_run(Code.BACKEND_BUSY, f'engine said {reply.code}')
        if exchange.is_wrong:
            await self.cancel(start.call_id)
            return unknown(Code.WRONG_ANSWER, 'the engine answered otherwise')
        return _ending(reply, exchange)

    async def cancel(self, call_id: str) -> None:
        """Ask the engine to stop a stream."""
        req = HTTPRequest(
            f'{self._url}/cancel',
            method='POST',
            body=b'',
            headers={CALL_HEADER: call_id},
            request_timeout=_CANCEL_TIMEOUT_S,
        )
        await fetch(self._client, req)


def _sent_body(method: str, body: bytes) -> bytes | None:
    # With a body, curl would send HEAD as PUT.
    if method == 'HEAD' or not (body or method in _BODY_METHODS):
        return None
    return body


def _is_own_answer(exchange: _Exchange, start: Start) -> bool:
    if exchange.status in {_BUSY, _NOT_FOUND}:
        # A refusal is no answer, so another endpoint may be asked.
        return False
    is_own = exchange.header_value(CALL_HEADER) == start.call_id
    return is_own and exchange.header_value(VERSION_HEADER) == start.version


def _is_lost(reply: HTTPResponse) -> bool:
    # The error of a real answer with this status holds that answer.
    is_status = getattr(reply.error, 'response', None) is not None
    return reply.code == NO_ANSWER and not is_status


def _ending(reply: HTTPResponse, exchange: _Exchange) -> Ending:
    if not _is_lost(reply):
        return ANSWERED
    detail = str(reply.error)
    errno = reply.error.errno if isinstance(reply.error, CurlError) else 0
    if errno in {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}:
        return not_run(Code.BACKEND_UNREACHABLE, detail)
    if errno == pycurl.E_OPERATION_TIMEDOUT and exchange.is_late:
        return unknown(Code.LATE, 'deadline passed')
    return unknown(Code.BACKEND_LOST, detail)
