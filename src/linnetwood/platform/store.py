"""A client of the platform's store for ranges of keys."""

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
from linnetwood.fleet.revisions import era_of, number_of, same_era
from linnetwood.platform.spoiltrows import SpoiltRows
from linnetwood.platform.storecalllog import StoreCallLog
from linnetwood.platform.storeera import StoreEra
from linnetwood.platform.storerows import (
    BAD_ANSWER,
    history_lost,
    parse_answer,
    parse_changes,
    parse_page,
)
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.connections import SILENCE_TIMEOUT_S
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Request

_KEY_ENCODING_ERRORS = 'surrogatepass'
_NOT_FOUND = 404
_MILLISECONDS = 1000
# The store begins to answer within milliseconds, a slow one after 0.5 s.
_FIRST_BYTE_S = 2.5
# A lost packet of a handshake is resent after 1 s, and over a full link a
# handshake takes as long. A longer timeout delays noticing that the store is
# back.
_CONNECT_S = 2.0
# The answer to a wait begins at most this long after the end of the wait, since
# it may be queued on a link between regions for more than 1 s.
_SLACK_S = 2.0
# A write is answered within milliseconds, by a slow store after 0.5 s.
_WRITE_S = 2.5
LEASE_GONE = 'store-lease-gone'
# A single failure may be a broken connection.
_PAGE_RETRIES = 2
# The same as the first pause of a follower.
_PAGE_PAUSE_S = 0.1
# A page holds 1 MB of values, encoded in base64 and JSON.
_MAX_BYTES = 33554432


def _ignore_bytes() -> None:
    """Do nothing by default."""


class PlatformStore:
    """Read ranges and wait for their changes."""

    def __init__(self, address: tuple[str, int], driver: CurlDriver) -> None:
        """Use the store at an address."""
        # Called for each received piece of an answer.
        self.on_bytes: Callable[[], None] = _ignore_bytes
        self._address = address
        self._driver = driver
        self._era = StoreEra()
        self._call_log = StoreCallLog(self._era)
        self._spoilt = SpoiltRows()
        self._in_progress = 0

    @property
    def era(self) -> int:
        """Return the newest known era, 0 without eras."""
        return self._era.newest

    async def read(self, prefix: str) -> Snapshot:
        """Read every page of a range."""
        found: dict[str, Record] = {}
        revision = 0
        next_after: str | None = ''
        while next_after is not None:
            page, next_after = await self._page_with_retries(prefix, next_after)
            # Pages are no snapshot; the next wait returns the changes since.
            revision = revision or page.revision
            if not same_era(page.revision, revision):
                raise history_lost(era_of(page.revision))
            found.update(page.records)
        return Snapshot(found, revision)

    async def wait(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a range."""
        asked = number_of(after)
        self._era.note(era_of(after))
        answer = await self._get(
            '/linnetwood/kv-watch',
            {
                'path_prefix': prefix,
                'after_revision': str(asked),
                # Rounded up, since an empty answer confirms the whole wait.
                'wait_ms': str(math.ceil(wait_s * _MILLISECONDS)),
            },
            wait_s + _SLACK_S,
        )
        try:
            found = self._parse_changes(answer, era_of(after))
        except StoreError as exc:
            self._call_log.log_failure('wait', asked, answer, exc)
            raise
        self._call_log.log_answer('wait', asked, answer, found)
        return found

    async def lease(self, ttl_s: float) -> int:
        """Create a lease; keys written under it are deleted when it ends."""
        ttl = {'ttl_ms': int(ttl_s * _MILLISECONDS)}
        parsed = parse_answer(await self._post('/linnetwood/kv-lease', ttl))
        try:
            return int(parsed['lease'])
        except BAD_ANSWER as exc:
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
        parse_answer(answer)

    def _parse_changes(self, answer: Answer, asked_era: int) -> Changes:
        era = self._current_era(answer)
        if era > asked_era:
            # A number of the earlier history means nothing in this one.
            raise history_lost(era)
        return parse_changes(parse_answer(answer, era), era, self._spoilt)

    def _current_era(self, answer: Answer) -> int:
        """Return the era of an answer; raise StoreError if it is not newest.

        An answer that is late, or of a copy of the store that is behind, must
        not bring back an earlier history.
        """
        era = self._era.read(answer.headers)
        if era < self._era.newest:
            raise StoreError('store-era-old', f'{era} < {self._era.newest}')
        return era

    async def _page_with_retries(
        self,
        prefix: str,
        after_key: str,
    ) -> tuple[Snapshot, str | None]:
        """Request a page with retries, so that previous pages are not lost."""
        # The first page needs none: the follower retries the whole read.
        retries = _PAGE_RETRIES if after_key else 0
        for _ in range(retries):
            try:
                return await self._request_page(prefix, after_key)
            except HistoryLostError:
                raise
            except StoreError as exc:
                log(Event.STORE_PAGE_AGAIN, prefix=prefix, detail=str(exc))
                await asyncio.sleep(_PAGE_PAUSE_S)
        return await self._request_page(prefix, after_key)

    async def _request_page(
        self, prefix: str, after_key: str
    ) -> tuple[Snapshot, str | None]:
        """Return a page, and the key after which the next one starts."""
        query = {'path_prefix': prefix}
        if after_key:
            # In this call the field holds the key after which the page starts.
            query['after_revision'] = after_key
        answer = await self._get('/linnetwood/kv-range', query, _FIRST_BYTE_S)
        try:
            era = self._current_era(answer)
            page, next_after = parse_page(
                parse_answer(answer, era), era, self._spoilt
            )
        except StoreError as exc:
            self._call_log.log_failure('page', 0, answer, exc)
            raise
        held = (Change(key, one) for key, one in page.records.items())
        found = Changes(tuple(held), page.revision)
        self._call_log.log_answer('page', 0, answer, found)
        return page, next_after

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        first_s: float,
    ) -> Answer:
        limits = SilenceLimits(first_s, SILENCE_TIMEOUT_S)
        # A request beside a pending wait may be sent because that wait hangs,
        # and kept connections may be silent as well.
        req = self._request(
            'GET',
            # A key of another writer may hold what can't be encoded.
            f'{path}?{urlencode(query, errors=_KEY_ENCODING_ERRORS)}',
            keep=not self._in_progress,
        )
        self._in_progress += 1
        try:
            return await ask(
                self._driver,
                req,
                _MAX_BYTES,
                limits,
                self.on_bytes,
            )
        finally:
            self._in_progress -= 1

    async def _post(self, path: str, parsed: dict[str, Any]) -> Answer:
        limits = SilenceLimits(_WRITE_S, SILENCE_TIMEOUT_S)
        # Kept beside the connection of a wait, this one might go silent
        # unnoticed, and a later wait would hang on it.
        body = json.dumps(parsed).encode()
        req = self._request('POST', path, body, keep=False)
        answer = await ask(self._driver, req, _MAX_BYTES, limits)
        self._era.read(answer.headers)
        return answer

    def _request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        keep: bool,
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
