"""Fenced orders to the VM's model engine."""

import dataclasses
import hashlib
import json
from typing import Protocol

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from linnetwood.core.errors import OrderError
from linnetwood.weights.chunks import Manifest
from linnetwood.wire.http import fetch

FENCE_STEP = 1024 * 1024
_TIMEOUT_S = 30.0
_OK = 200
_STALE = 409


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """What the engine says of itself."""

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
    """Ask the engine and order it."""

    async def status(self) -> EngineStatus:
        """Ask what serves and which fence stands; raise OrderError."""

    async def stage(self, manifest: str, index: int, chunk: bytes) -> None:
        """Hand a checked chunk over; raise OrderError."""

    async def load(self, order: LoadOrder) -> None:
        """Order a load; raise OrderError unless it is confirmed exactly."""


def next_fence(revision: int, standing: int) -> int:
    """Give a number above every order given before under this revision."""
    return max(revision * FENCE_STEP, standing + 1)


def chunks_digest(manifest: Manifest) -> str:
    """Give the digest by which the engine checks its staged chunks."""
    return hashlib.sha256(b''.join(manifest.digests)).hexdigest()


class HttpOrderClient:
    """Order an engine over HTTP."""

    def __init__(self, url: str, client: AsyncHTTPClient) -> None:
        """Reach the engine at a URL."""
        self._url = url.rstrip('/')
        self._client = client

    async def status(self) -> EngineStatus:
        """Ask the engine."""
        reply = await self._fetch(HTTPRequest(f'{self._url}/status'))
        said = _object(reply)
        return EngineStatus(
            int(str(said.get('fence', 0))),
            str(said.get('serving', '')),
            str(said.get('manifest', '')),
        )

    async def stage(self, manifest: str, index: int, chunk: bytes) -> None:
        """Hand a chunk over."""
        url = f'{self._url}/stage/{manifest}/{index}'
        await self._fetch(HTTPRequest(url, method='PUT', body=chunk))

    async def load(self, order: LoadOrder) -> None:
        """Order a load and check the confirmation."""
        body = json.dumps(dataclasses.asdict(order))
        url = f'{self._url}/orders'
        said = _object(
            await self._fetch(HTTPRequest(url, method='POST', body=body)),
        )
        if (said.get('serving'), said.get('fence')) != (
            order.serving,
            order.fence,
        ):
            raise OrderError('order-not-confirmed', f'engine said {said}')

    async def _fetch(self, req: HTTPRequest) -> HTTPResponse:
        req.request_timeout = _TIMEOUT_S
        reply = await fetch(self._client, req)
        if reply.code == _STALE:
            raise OrderError('stale-fence', reply.body.decode())
        if reply.code != _OK:
            raise OrderError('engine-unreachable', str(reply.error))
        return reply


def _object(reply: HTTPResponse) -> dict[str, object]:
    try:
        said = json.loads(reply.body)
    except ValueError as exc:
        raise OrderError('engine-bad-answer', str(exc)) from exc
    if not isinstance(said, dict):
        raise OrderError('engine-bad-answer', type(said).__name__)
    return said
