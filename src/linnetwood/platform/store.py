"""The platform's store, as the product's range of keys."""

import asyncio
import base64
import json
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.ranges import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.platform.checked import UNREADABLE
from linnetwood.platform.storesight import StoreSight
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.connections import SILENCE_TIMEOUT_S
from linnetwood.wire.curldriver import CurlDriver, Request

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_MILLISECONDS = 1000
# It begins to answer in milliseconds; a slow one after half a second.
_FIRST_S = 2.5
# A handshake's lost packet is sent again after a second, and over a link that
# is full it takes as long. Longer, and a store that is back is noticed late.
_CONNECT_S = 2.0
# An answer to a waiting call begins this much after its time at the latest: it
# may queue on a link between regions for a second and more.
_SLACK_S = 2.0
# A change is answered in milliseconds, by a slow store after half a second.
_WRITE_S = 2.5
LEASE_GONE = 'store-lease-gone'
# One failure may be a connection that broke; a store that is away fails again.
_PAGE_RETRIES = 2
# As long as one who follows pauses after a first failure.
_PAGE_PAUSE_S = 0.1
# A page holds a megabyte of values, in base64 and JSON.
_MOST_BYTES = 33554432
_BAD_ANSWER = (KeyError, TypeError, ValueError, OverflowError, AttributeError)
_UNREADABLE = (*UNREADABLE, TypeError)


def _nothing() -> None:
    """Tell nobody."""


class PlatformStore:
    """Read ranges and wait for their changes."""

    def __init__(self, address: tuple[str, int], driver: CurlDriver) -> None:
        """Reach the store at an address."""
        # Told of each piece of an answer.
        self.heard: Callable[[], None] = _nothing
        self._address = address
        self._driver = driver
        self._sight = StoreSight()
        self._under_way = 0

    async def read(self, prefix: str) -> Snapshot:
        """Read every page of a range."""
        found: dict[str, Record] = {}
        revision = 0
        last = ''
        more = True
        while more:
            page, more = await self._patient_page(prefix, last)
            # Pages are no snapshot: what changed since the first is waited for.
            revision = revision or page.revision
            found.update(page.records)
            last = next(reversed(found), '')
        return Snapshot(found, revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a range."""
        answer = await self._get(
            '/linnetwood/kv-watch',
            {
                'path_prefix': prefix,
                'after_revision': str(after),
                # No less: an empty answer confirms all of the wait.
                'wait_ms': str(math.ceil(wait_s * _MILLISECONDS)),
            },
            wait_s + _SLACK_S,
        )
        try:
            found = _changes(_said(answer))
        except StoreError as exc:
            self._sight.failed('wait', after, answer, exc)
            raise
        self._sight.answered('wait', after, answer, found)
        return found

    async def lease(self, ttl_s: float) -> int:
        """Take a lease; keys written under it go when it ends."""
        ttl = {'ttl_ms': int(ttl_s * _MILLISECONDS)}
        said = _said(await self._post('/linnetwood/kv-lease', ttl))
        try:
            return int(said['lease'])
        except _BAD_ANSWER as exc:
            raise StoreError('store-bad-answer', repr(exc)) from exc

    async def write(
        self,
        payloads: Mapping[str, bytes],
        removed: Sequence[str],
        lease: int,
    ) -> None:
        """Write keys under a lease and remove others, all or none.

        Raises StoreError, with the code LEASE_GONE where the lease has ended;
        otherwise the write may have taken effect, and may be sent again.
        """
        written = [
            {
                'private_key': key,
                'value': base64.b64encode(payload).decode(),
                'lease': lease,
            }
            for key, payload in payloads.items()
        ]
        change = {
            'expected_revision': [],
            'write': written,
            'remove': list(removed),
        }
        answer = await self._post('/linnetwood/kv-txn', change)
        if answer.status == _NOT_FOUND:
            raise StoreError(LEASE_GONE, f'lease {lease}')
        _said(answer)

    async def _patient_page(
        self,
        prefix: str,
        last: str,
    ) -> tuple[Snapshot, bool]:
        """Ask again for a page, so that those before it are not lost."""
        # Nothing is lost with the first: whoever follows asks for it again.
        retries = _PAGE_RETRIES if last else 0
        for _ in range(retries):
            try:
                return await self._page(prefix, last)
            except HistoryLostError:
                raise
            except StoreError as exc:
                log(Event.STORE_PAGE_AGAIN, prefix=prefix, detail=str(exc))
                await asyncio.sleep(_PAGE_PAUSE_S)
        return await self._page(prefix, last)

    async def _page(self, prefix: str, last: str) -> tuple[Snapshot, bool]:
        query = {'path_prefix': prefix}
        if last:
            # Here the field holds the key after which the page starts.
            query['after_revision'] = last
        answer = await self._get('/linnetwood/kv-range', query, _FIRST_S)
        try:
            page, more = _read_page(_said(answer))
        except StoreError as exc:
            self._sight.failed('page', 0, answer, exc)
            raise
        held = (Change(key, one) for key, one in page.records.items())
        found = Changes(tuple(held), page.revision)
        self._sight.answered('page', 0, answer, found)
        return page, more

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        first_s: float,
    ) -> Answer:
        patience = SilenceLimits(first_s, SILENCE_TIMEOUT_S)
        # A call beside one that waits may be asked because that one hangs, and
        # connections that are kept may have fallen silent with it.
        req = self._request(
            'GET',
            f'{path}?{urlencode(query)}',
            keep=not self._under_way,
        )
        self._under_way += 1
        try:
            return await ask(
                self._driver,
                req,
                _MOST_BYTES,
                patience,
                self.heard,
            )
        finally:
            self._under_way -= 1

    async def _post(self, path: str, said: dict[str, Any]) -> Answer:
        patience = SilenceLimits(_WRITE_S, SILENCE_TIMEOUT_S)
        req = self._request('POST', path, json.dumps(said).encode())
        return await ask(self._driver, req, _MOST_BYTES, patience)

    def _request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        keep: bool = True,
    ) -> Request:
        host, port = self._address
        headers = [('Host', f'{host}:{port}')]
        if body:
            headers.append(('Content-Type', 'application/json'))
        return Request(
            host,
            port,
            method,
            target,
            headers,
            body,
            connect_s=_CONNECT_S,
            keep=keep,
        )


def _said(answer: Answer) -> dict[str, Any]:
    if answer.status == _GONE:
        raise HistoryLostError('store-history-lost')
    if answer.status != _OK:
        detail = answer.finish.detail or f'status {answer.status}'
        raise StoreError('store-unreachable', detail)
    try:
        return dict(json.loads(answer.body))
    except _UNREADABLE as exc:
        raise StoreError('store-bad-answer', str(exc)) from exc


def _read_page(said: dict[str, Any]) -> tuple[Snapshot, bool]:
    try:
        found = {_key(row): _record(row) for row in said['items']}
        return Snapshot(found, int(said['timestamp'])), bool(said['has_more'])
    except _BAD_ANSWER as exc:
        raise StoreError('store-bad-answer', repr(exc)) from exc


def _changes(said: dict[str, Any]) -> Changes:
    try:
        changes = tuple(_change(row) for row in said['events'])
        return Changes(changes, int(said['timestamp']))
    except _BAD_ANSWER as exc:
        raise StoreError('store-bad-answer', repr(exc)) from exc


def _key(row: dict[str, Any]) -> str:
    key = row['private_key']
    if not isinstance(key, str):
        raise TypeError(f'a key is {type(key).__name__}')
    return key


def _record(row: dict[str, Any]) -> Record:
    payload = base64.b64decode(row['value'], validate=True)
    return Record(payload, int(row['revision']))


def _change(row: dict[str, Any]) -> Change:
    key = _key(row)
    if row.get('deleted'):
        return Change(key, None, deleted_revision=int(row['revision']))
    return Change(key, _record(row))
