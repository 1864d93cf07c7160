"""Fenced orders to the VM's model engine."""

import dataclasses
import hashlib
import json
from collections.abc import Callable
from typing import Protocol

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from linnetwood.core.errors import OrderError
from linnetwood.weights.chunks import Manifest
from linnetwood.wire.curl import SendCondition
from linnetwood.wire.http import fetch

FENCE_STEP = 1024 * 1024
_TIMEOUT_S = 30.0
_OK = 200
_CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """The state that the engine reports."""

    fence: int
    serving: str
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to serve one complete version from now on."""

    fence: int
    serving: str
    manifest: str
    chunks_digest: str


class OrderClient(Protocol):
    """Query the engine and send orders to it."""

    async def status(self) -> EngineStatus:
        """Get the served version and current fence; may raise OrderError."""

    async def stage(self, manifest: str, index: int, chunk: bytes) -> None:
        """Send a verified chunk; may raise OrderError."""

    async def load(
        self, order: LoadOrder, may_send: Callable[[], bool]
    ) -> None:
        """Order a load; raise OrderError unless it is confirmed exactly.

        `may_send` is asked once the engine is connected, since connecting may
        take long, or the process may be frozen meanwhile.
        """


def next_fence(revision: int, current: int) -> int:
    """Give a fence above those of all earlier orders of this revision."""
    return max(revision * FENCE_STEP, current + 1)


def chunks_digest(manifest: Manifest) -> str:
    """Give the digest that the engine compares with its staged chunks."""
    return hashlib.sha256(b''.join(manifest.digests)).hexdigest()


class HttpOrderClient:
    """Send orders to an engine over HTTP."""

    def __init__(self, url: str, client: AsyncHTTPClient) -> None:
        """Use the engine at a URL."""
        self._url = url.rstrip('/')
        self._client = client

    async def status(self) -> EngineStatus:
        """Get the engine's status."""
        reply = await self._fetch(HTTPRequest(f'{self._url}/status'))
        answer = _parse_object(reply)
        return EngineStatus(
            int(str(answer.get('fence', 0))),
            str(answer.get('serving', '')),
            str(answer.get('manifest', '')),
        )

    async def stage(self, manifest: str, index: int, chunk: bytes) -> None:
        """Send a chunk."""
        url = f'{self._url}/stage/{manifest}/{index}'
        await self._fetch(HTTPRequest(url, method='PUT', body=chunk))

    async def load(
        self, order: LoadOrder, may_send: Callable[[], bool]
    ) -> None:
        """Order a load and verify the confirmation."""
        req = HTTPRequest(
            f'{self._url}/orders',
            method='POST',
            body=json.dumps(dataclasses.asdict(order)),
            prepare_curl_callback=SendCondition(may_send).prepare,
        )
        answer = _parse_object(await self._fetch(req))
        if (answer.get('serving'), answer.get('fence')) != (
            order.serving,
            order.fence,
        ):
            raise OrderError('order-not-confirmed', f'engine answered {answer}')

    async def _fetch(self, req: HTTPRequest) -> HTTPResponse:
        req.request_timeout = _TIMEOUT_S
        reply = await fetch(self._client, req)
        if reply.code == _CONFLICT:
            raise OrderError('stale-fence', reply.body.decode())
        if reply.code != _OK:
            raise OrderError('engine-unreachable', str(reply.error))
        return reply


def _parse_object(reply: HTTPResponse) -> dict[str, object]:
    try:
        answer = json.loads(reply.body)
    except ValueError as exc:
        raise OrderError('engine-bad-answer', str(exc)) from exc
    if not isinstance(answer, dict):
        raise OrderError('engine-bad-answer', type(answer).__name__)
    return answer
