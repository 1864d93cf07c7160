"""HTTP clients for the one engine or plain service of the VM."""

import asyncio
from http import HTTPStatus
from typing import Protocol
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from linnetwood.calls.backendexchange import (
    VERSION_HEADER,
    BackendSink,
    Exchange,
    end_at_body,
    end_to_end_headers,
    without_headers,
)
from linnetwood.core.outcomes import ANSWERED, Code, Ending, not_run, unknown
from linnetwood.gen.wire.ttypes import Start
from linnetwood.wire.answerreader import AnswerReader
from linnetwood.wire.curlrequest import HEAD_METHOD
from linnetwood.wire.http import NO_ANSWER, fetch

CALL_HEADER = 'X-Call'
_REFUSALS = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.NOT_FOUND))
_MILLISECONDS = 1000
_CANCEL_TIMEOUT_S = 2.0
# Timers of curl may fire so much earlier than those of the loop.
_TIMER_S = 0.01
_REQUEST_ONLY_HEADERS = frozenset(('host', 'content-length', 'expect'))
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class Backend(Protocol):
    """Run calls on the engine or service of this VM."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call and give its ending."""

    async def cancel(self, call_id: str) -> None:
        """Stop a call whose caller has gone."""


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
        exchange: Exchange,
    ) -> HTTPResponse:
        req.prepare_curl_callback = exchange.prepare
        req.request_timeout = max(1, start.deadline_ms) / _MILLISECONDS
        loop = asyncio.get_running_loop()
        late_at = loop.time() + req.request_timeout - _TIMER_S
        try:
            reply = await fetch(self._client, req)
        finally:
            exchange.close()
        exchange.is_late = loop.time() > late_at
        if exchange.is_whole and not exchange.begun and not _is_lost(reply):
            exchange.open()
        return reply


class ServiceBackend(_HttpBackend):
    """Forward calls to a plain service byte for byte."""

    async def run(self, start: Start, body: bytes, sink: BackendSink) -> Ending:
        """Run one call."""
        exchange = Exchange(sink, lambda _: True)
        exchange.reader = AnswerReader(has_body=start.method != HEAD_METHOD)
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
        for line in without_headers(
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
        exchange = Exchange(
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
        if exchange.is_wrong and exchange.status in _REFUSALS:
            return not_run(Code.BACKEND_BUSY, f'engine said {exchange.status}')
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
            prepare_curl_callback=end_at_body,
        )
        await fetch(self._client, req)


def _sent_body(method: str, body: bytes) -> bytes | None:
    # With a body, curl would send HEAD as PUT.
    if method == HEAD_METHOD or not (body or method in _BODY_METHODS):
        return None
    return body


def _is_own_answer(exchange: Exchange, start: Start) -> bool:
    if exchange.status in _REFUSALS:
        # A refusal is no answer, so another endpoint may be asked.
        return False
    is_own = exchange.header_value(CALL_HEADER) == start.call_id
    return is_own and exchange.header_value(VERSION_HEADER) == start.version


def _is_lost(reply: HTTPResponse) -> bool:
    # The error of a real answer with this status holds that answer.
    is_status = getattr(reply.error, 'response', None) is not None
    return reply.code == NO_ANSWER and not is_status


def _ending(reply: HTTPResponse, exchange: Exchange) -> Ending:
    if not _is_lost(reply):
        return ANSWERED
    detail = str(reply.error)
    errno = reply.error.errno if isinstance(reply.error, CurlError) else 0
    if errno in {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}:
        return not_run(Code.BACKEND_UNREACHABLE, detail)
    if errno == pycurl.E_OPERATION_TIMEDOUT and exchange.is_late:
        return unknown(Code.LATE, 'deadline passed')
    return unknown(Code.BACKEND_LOST, detail)
