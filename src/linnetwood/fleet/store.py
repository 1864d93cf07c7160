"""Client of the platform's key-value service."""

import dataclasses
from typing import Protocol
from urllib.parse import quote

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPRequest,
    HTTPResponse,
)

from linnetwood.core.errors import StoreAnswerLostError, StoreError
from linnetwood.wire.http import NO_ANSWER, fetch

VERSION_HEADER = 'X-Version'
_ABSENT = 404
_CONFLICT = 409
_UNCHANGED = 304
_REFUSED_CODES = frozenset((400, 413, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """Bytes and version of a key; version 0 means that the key is absent."""

    version: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SwapOutcome:
    """Whether a compare-and-swap took effect, and the key's version now."""

    done: bool
    version: int


class KeyValue(Protocol):
    """Read, swap and watch keys."""

    async def get(self, key: str) -> StoredValue:
        """Read a key; raise StoreError when the service does not answer."""

    async def swap(self, key: str, payload: bytes, expect: int) -> SwapOutcome:
        """Write a key if its version is as expected; 0 expects no key.

        Raises StoreError if nothing was written, and StoreAnswerLostError if
        the write may have taken effect.
        """

    async def wait(
        self, key: str, after: int, wait_s: float
    ) -> StoredValue | None:
        """Wait for a version after the given one; None if none came."""


class HttpKeyValue:
    """The service over HTTP."""

    def __init__(
        self,
        url: str,
        timeout_s: float,
        client: AsyncHTTPClient,
    ) -> None:
        """Use a client for calls to a URL; each call has a timeout in s."""
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._client = client

    async def get(self, key: str) -> StoredValue:
        """Read a key."""
        reply = await self._fetch(HTTPRequest(self._key_url(key)))
        if reply.code == _ABSENT:
            return StoredValue(0, b'')
        return _stored(reply)

    async def swap(self, key: str, payload: bytes, expect: int) -> SwapOutcome:
        """Write a key if its version is as expected."""
        url = f'{self._key_url(key)}?expect={expect}'
        reply = await self._fetch(
            HTTPRequest(url, method='PUT', body=payload),
        )
        if reply.code == NO_ANSWER:
            raise StoreAnswerLostError('store-answer-lost', key)
        version = int(reply.headers.get(VERSION_HEADER, 0))
        return SwapOutcome(reply.code != _CONFLICT, version)

    async def wait(
        self, key: str, after: int, wait_s: float
    ) -> StoredValue | None:
        """Wait for a newer version of a key."""
        url = f'{self._key_url(key)}?after={after}&wait={wait_s}'
        reply = await self._fetch(HTTPRequest(url), extra_s=wait_s)
        if reply.code in {_UNCHANGED, _ABSENT}:
            return None
        return _stored(reply)

    def _key_url(self, key: str) -> str:
        return f'{self._url}/kv/{quote(key, safe="")}'

    async def _fetch(
        self,
        req: HTTPRequest,
        extra_s: float = 0,
    ) -> HTTPResponse:
        req.request_timeout = self._timeout_s + extra_s
        req.connect_timeout = self._timeout_s
        reply = await fetch(self._client, req)
        if reply.code in _REFUSED_CODES:
            raise StoreError('store-refused', str(reply.code))
        if reply.code == NO_ANSWER and req.method == 'GET':
            raise StoreError('store-unreachable', str(reply.error))
        return reply


def _stored(reply: HTTPResponse) -> StoredValue:
    version = reply.headers.get(VERSION_HEADER, '')
    if not version.isdigit():
        raise StoreError('store-bad-answer', f'status {reply.code}')
    return StoredValue(int(version), reply.body)
