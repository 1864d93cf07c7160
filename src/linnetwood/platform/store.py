"""The platform's store, as the product's range of keys."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import urlencode

from linnetwood.core.errors import StoreError
from linnetwood.core.events import Event, log
from linnetwood.fleet.following import (
    Change,
    Changes,
    HistoryLostError,
    Record,
    Snapshot,
)
from linnetwood.wire.asking import Answer, Patience, ask
from linnetwood.wire.connections import SILENT_S
from linnetwood.wire.curldriver import CurlDriver, Request

_OK = 200
_GONE = 410
_MILLISECONDS = 1000
# It begins to answer in milliseconds; a slow one after half a second.
_FIRST_S = 2.5
_CONNECT_S = 1.0
# An answer to a waiting call begins this much after its time at the latest.
_SLACK_S = 1.0
# One failure may be a connection that broke; a store that is away fails again.
_PAGE_RETRIES = 2
# As long as one who follows pauses after a first failure.
_PAGE_PAUSE_S = 0.1
# A page holds a megabyte of values, in base64 and JSON.
_MOST_BYTES = 33554432
_BAD_ANSWER = (KeyError, TypeError, ValueError)


class PlatformStore:
    """Read ranges and wait for their changes."""

    def __init__(self, address: tuple[str, int], driver: CurlDriver) -> None:
        """Reach the store at an address."""
        self._address = address
        self._driver = driver

    async def read(self, prefix: str) -> Snapshot:
        """Read every page of a range."""
        try:
            return await self._pages(prefix)
        except _BAD_ANSWER as exc:
            raise StoreError('store-bad-answer', repr(exc)) from exc

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a range."""
        said = await self._get(
            '/linnetwood/kv-watch',
            {
                'path_prefix': prefix,
                'after_revision': str(after),
                'wait_ms': str(int(wait_s * _MILLISECONDS)),
            },
            wait_s + _SLACK_S,
        )
        try:
            changes = tuple(_change(row) for row in said['events'])
            return Changes(changes, int(said['timestamp']))
        except _BAD_ANSWER as exc:
            raise StoreError('store-bad-answer', repr(exc)) from exc

    async def _pages(self, prefix: str) -> Snapshot:
        found: dict[str, Record] = {}
        revision = 0
        last = ''
        while True:
            said = await self._patient_page(prefix, last)
            # Pages are no snapshot: what changed since the first is waited for.
            revision = revision or int(said['timestamp'])
            for row in said['items']:
                last = row['private_key']
                found[last] = _record(row)
            if not said['has_more']:
                return Snapshot(found, revision)

    async def _patient_page(self, prefix: str, last: str) -> dict[str, Any]:
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

    async def _page(self, prefix: str, last: str) -> dict[str, Any]:
        query = {'path_prefix': prefix}
        if last:
            # Here the field holds the key after which the page starts.
            query['after_revision'] = last
        return await self._get('/linnetwood/kv-range', query, _FIRST_S)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        first_s: float,
    ) -> dict[str, Any]:
        host, port = self._address
        req = Request(
            host,
            port,
            'GET',
            f'{path}?{urlencode(query)}',
            [('Host', f'{host}:{port}')],
            connect_s=_CONNECT_S,
            keep=True,
        )
        patience = Patience(first_s, SILENT_S)
        return _said(await ask(self._driver, req, _MOST_BYTES, patience))


def _said(answer: Answer) -> dict[str, Any]:
    if answer.status == _GONE:
        raise HistoryLostError('store-history-lost')
    if answer.status != _OK:
        detail = answer.finish.detail or f'status {answer.status}'
        raise StoreError('store-unreachable', detail)
    try:
        return dict(json.loads(answer.body))
    except (ValueError, TypeError) as exc:
        raise StoreError('store-bad-answer', str(exc)) from exc


def _record(row: dict[str, Any]) -> Record:
    return Record(base64.b64decode(row['value']), int(row['revision']))


def _change(row: dict[str, Any]) -> Change:
    gone = bool(row.get('deleted'))
    return Change(row['private_key'], None if gone else _record(row))
