"""Clients of the platform's model server and origin of weights."""

import hashlib
import json
import math
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import quote, urlencode

from linnetwood.calls.enginepace import is_valid_pace
from linnetwood.core.errors import LinnetwoodError, OrderError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.sizes import MIB
from linnetwood.platform import tables, validation
from linnetwood.weights.chunks import Manifest
from linnetwood.weights.engine import EngineReport, OrderResult
from linnetwood.weights.stagedchunks import ORDER_ANSWER_S
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.connections import SILENCE_TIMEOUT_S
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.curlrequest import Request

# Messages to entries hold counts of 32 bits.
_MAX_SENT = 2147483647
# An answer of a fixed size from the same VM takes milliseconds.
_TIMEOUT_S = 1.5
# Answers that grow with the model have no limit on their total time.
_LARGE_ANSWER_LIMITS = SilenceLimits(_TIMEOUT_S, SILENCE_TIMEOUT_S)
# The origin's link is shared, so a chunk may begin later.
_CHUNK_FIRST_BYTE_S = 4.0
_CHUNK_LIMITS = SilenceLimits(_CHUNK_FIRST_BYTE_S, SILENCE_TIMEOUT_S)
# Of a chunk, and of any other answer: manifests of 8192 chunks take half of it.
_MAX_CHUNK_BYTES = 16777216
_MAX_BYTES = MIB
_MAX_LOGGED_CHARS = 40
_BAD_ANSWER = (KeyError, TypeError, ValueError, OverflowError)
_REPORT = (
    validation.integer('waiting', needed=False),
    validation.integer('running', needed=False),
    validation.integer('kv_used', needed=False),
    validation.integer('kv_total', needed=False),
    tables.MODELS,
    validation.boolean('utilization', needed=False),
    validation.integer('sequence', needed=False),
    validation.integer('born', needed=False),
)
_MANIFEST = (
    validation.text_list('digests'),
    validation.integer('chunk_bytes', 1),
)
_NEWEST = (*_MANIFEST, validation.integer('version', 1))
# The platform has no digest of all chunks together.
_UNKNOWN_WHOLE = bytes(hashlib.sha256().digest_size)


class ServerEngine:
    """A client of the model server on this VM."""

    def __init__(
        self,
        address: tuple[str, int],
        driver: CurlDriver,
        *,
        keep: bool = True,
    ) -> None:
        """Use the server at an address; connections may be kept."""
        self._server = _HttpServer(address, driver, keep=keep)
        self._has_logged_pace = False

    async def report(self) -> EngineReport:
        """Request its report."""
        answer = await self._server.ask('GET', '/linnetwood/report')
        parsed = _parse_object(answer, OrderError)
        fault = validation.find_fault(parsed, _REPORT)
        if fault:
            raise OrderError('engine-bad-answer', fault)
        return _report(parsed, self._pace(parsed))

    async def staged(self, model: str) -> list[int]:
        """Request the indices of staged chunks."""
        path = _stage_path('stage-get', model)
        answer = await self._server.ask(
            'GET', path, limits=_LARGE_ANSWER_LIMITS
        )
        if answer.status == HTTPStatus.NOT_FOUND:
            return []
        try:
            return [
                int(one) for one in _parse_object(answer, OrderError)['held']
            ]
        except _BAD_ANSWER as exc:
            raise OrderError('engine-bad-answer', repr(exc)) from exc

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Read a staged chunk."""
        path = _stage_path('stage-get', model, index)
        answer = await self._server.ask(
            'GET',
            path,
            limits=_LARGE_ANSWER_LIMITS,
            max_bytes=_MAX_CHUNK_BYTES,
        )
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            # It says nothing of the chunk, which may well be staged and right.
            raise OrderError('engine-unreachable', _failure_detail(answer))
        return answer.body

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Stage a chunk."""
        path = _stage_path('stage-put', model, index)
        answer = await self._server.ask('PUT', path, chunk)
        if not answer.status or answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise OrderError('engine-refused', _failure_detail(answer))

    async def activate(
        self, model: str, version: int, orders: int, send_by: float
    ) -> OrderResult:
        """Order it to serve the staged chunks if its order count matches."""
        body = json.dumps(
            {
                'operation': 'start',
                'model': model,
                'version': version,
                'method': 'queue',
                # The platform's name for the expected count of orders.
                'expected_revision': orders,
            },
        )
        answer = await self._server.ask(
            'POST',
            '/linnetwood/order',
            body.encode(),
            [('Content-Type', 'application/json')],
            total_s=ORDER_ANSWER_S,
            send_by=send_by,
        )
        if not answer.status:
            raise OrderError('engine-unreachable', _failure_detail(answer))
        return _ORDER_RESULTS.get(answer.status, OrderResult.REFUSED)

    def _pace(self, parsed: Mapping[str, Any]) -> float:
        """Return the reported pace; one that can't be right counts as 1."""
        pace = parsed.get('pace', 1)
        if is_valid_pace(pace):
            return float(pace)
        if not self._has_logged_pace:
            self._has_logged_pace = True
            log(Event.PACE_IGNORED, pace=repr(pace)[:_MAX_LOGGED_CHARS])
        return 1


_ORDER_RESULTS: Mapping[int, OrderResult] = MappingProxyType(
    {
        int(HTTPStatus.ACCEPTED): OrderResult.TAKEN,
        int(HTTPStatus.OK): OrderResult.DONE,
        int(HTTPStatus.CONFLICT): OrderResult.CONFLICT,
    },
)


class PlatformOrigin:
    """A client of the origin, whose address is set later."""

    def __init__(self, driver: CurlDriver) -> None:
        """Start without an address."""
        self.address: tuple[str, int] | None = None
        self._driver = driver

    async def manifest(self, model: str, version: int) -> Manifest:
        """Read the digests of a version."""
        query = urlencode({'version': version})
        return _manifest(await self._manifest(f'{quote(model)}?{query}'))

    async def newest(self, model: str) -> tuple[int, Manifest]:
        """Read the newest version's number and digests."""
        # Without a version in the query the origin returns the newest.
        parsed = await self._manifest(quote(model), _NEWEST)
        return int(parsed['version']), _manifest(parsed)

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Read one chunk without verifying it."""
        query = urlencode({'quantity': index, 'version': version})
        path = f'/linnetwood/piece/{quote(model)}?{query}'
        answer = await self._server().ask(
            'GET', path, limits=_CHUNK_LIMITS, max_bytes=_MAX_CHUNK_BYTES
        )
        if answer.status != HTTPStatus.OK:
            raise WeightsError('origin-refused', _failure_detail(answer))
        return answer.body

    async def _manifest(
        self, path: str, fields: Sequence[validation.Field] = _MANIFEST
    ) -> Mapping[str, Any]:
        answer = await self._server().ask(
            'GET', f'/linnetwood/manifest/{path}', limits=_LARGE_ANSWER_LIMITS
        )
        parsed = _parse_object(answer, WeightsError)
        fault = validation.find_fault(parsed, fields)
        if fault:
            raise WeightsError('manifest-malformed', fault)
        return parsed

    def _server(self) -> '_HttpServer':
        if self.address is None:
            raise WeightsError('origin-unknown')
        return _HttpServer(self.address, self._driver)


class _HttpServer:
    """Send requests to one address."""

    def __init__(
        self,
        address: tuple[str, int],
        driver: CurlDriver,
        *,
        keep: bool = True,
    ) -> None:
        self._address = address
        self._driver = driver
        self._keep = keep

    async def ask(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: list[tuple[str, str]] | None = None,
        limits: SilenceLimits | None = None,
        total_s: float = _TIMEOUT_S,
        send_by: float = math.inf,
        max_bytes: int = _MAX_BYTES,
    ) -> Answer:
        host, port = self._address
        fields = [('Host', f'{host}:{port}'), *(headers or ())]
        req = Request(
            host,
            port,
            method,
            target,
            fields,
            body,
            connect_s=1.0,
            total_s=total_s,
            keep=self._keep and method != 'POST',
            send_by=send_by,
        )
        return await ask(self._driver, req, max_bytes, limits)


def _report(parsed: Mapping[str, Any], pace: float) -> EngineReport:
    return EngineReport(
        waiting=min(parsed.get('waiting', 0), _MAX_SENT),
        running=min(parsed.get('running', 0), _MAX_SENT),
        kv_used=int(parsed.get('kv_used', 0)),
        kv_total=int(parsed.get('kv_total', 0)),
        serving={
            one['name']: one['version'] for one in parsed.get('models', ())
        },
        # The field's name is misleading: true means an order in progress.
        changing=bool(parsed.get('utilization')),
        orders_taken=int(parsed.get('sequence', 0)),
        born=int(parsed.get('born', 0)),
        pace=pace,
    )


def _manifest(parsed: Mapping[str, Any]) -> Manifest:
    try:
        digests = tuple(bytes.fromhex(one) for one in parsed['digests'])
        size = int(parsed['chunk_bytes']) * len(digests)
        return Manifest(
            size,
            int(parsed['chunk_bytes']),
            _UNKNOWN_WHOLE,
            digests,
        )
    except _BAD_ANSWER as exc:
        raise WeightsError('manifest-malformed', repr(exc)) from exc


def _stage_path(call: str, model: str, index: int | None = None) -> str:
    path = f'/linnetwood/{call}/{quote(model)}'
    # The platform's name for the index of a chunk.
    return path if index is None else f'{path}?quantity={index}'


def _parse_object(
    answer: Answer, error: type[LinnetwoodError]
) -> dict[str, Any]:
    if answer.status != HTTPStatus.OK:
        raise error('no-answer', _failure_detail(answer))
    try:
        parsed = json.loads(answer.body)
    except validation.UNREADABLE as exc:
        raise error('bad-answer', str(exc)) from exc
    if not isinstance(parsed, dict):
        raise error('bad-answer', type(parsed).__name__)
    return parsed


def _failure_detail(answer: Answer) -> str:
    return answer.finish.detail or f'status {answer.status}'
