"""The platform's model server and origin, as the weights path uses them."""

import hashlib
import json
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import quote, urlencode

from linnetwood.core.errors import LinnetwoodError, OrderError, WeightsError
from linnetwood.platform import checked, tables
from linnetwood.weights.chunks import Manifest
from linnetwood.weights.engine import EngineReport, OrderResult
from linnetwood.wire.asking import Answer, SilenceLimits, ask
from linnetwood.wire.connections import SILENCE_TIMEOUT_S
from linnetwood.wire.curldriver import CurlDriver, Request

# An answer of a fixed size, on this machine, comes in milliseconds.
_TIMEOUT_S = 1.5
# What grows with the model has no total time, and begins within the same.
_GROWING = SilenceLimits(_TIMEOUT_S, SILENCE_TIMEOUT_S)
# Others may share the origin's link, so a piece may begin later than that.
_PIECE_FIRST_S = 4.0
_PIECE = SilenceLimits(_PIECE_FIRST_S, SILENCE_TIMEOUT_S)
_MOST_BYTES = 16777216
_BAD_ANSWER = (KeyError, TypeError, ValueError, OverflowError)
_REPORT = (
    checked.whole('waiting', needed=False),
    checked.whole('running', needed=False),
    checked.whole('kv_used', needed=False),
    checked.whole('kv_total', needed=False),
    tables.MODELS,
    checked.flag('utilization', needed=False),
    checked.whole('sequence', needed=False),
    checked.whole('born', needed=False),
)
_MANIFEST = (checked.texts('digests'), checked.whole('chunk_bytes', 1))
_NEWEST = (*_MANIFEST, checked.whole('version', 1))
# The platform gives no digest over all pieces.
_UNKNOWN_WHOLE = bytes(hashlib.sha256().digest_size)


class ServerEngine:
    """Speak to the model server of this machine."""

    def __init__(self, address: tuple[str, int], driver: CurlDriver) -> None:
        """Reach the server at its address."""
        self._site = _Site(address, driver)

    async def report(self) -> EngineReport:
        """Ask what it does."""
        answer = await self._site.ask('GET', '/linnetwood/report')
        said = _object(answer, OrderError)
        fault = checked.faults(said, _REPORT)
        if fault:
            raise OrderError('engine-bad-answer', fault)
        return _report(said)

    async def staged(self, model: str) -> list[int]:
        """Ask which chunks lie there."""
        place = _stage('stage-get', model)
        answer = await self._site.ask('GET', place, patience=_GROWING)
        if answer.status == HTTPStatus.NOT_FOUND:
            return []
        try:
            return [int(one) for one in _object(answer, OrderError)['held']]
        except _BAD_ANSWER as exc:
            raise OrderError('engine-bad-answer', repr(exc)) from exc

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Read a chunk that lies there."""
        place = _stage('stage-get', model, index)
        answer = await self._site.ask('GET', place, patience=_GROWING)
        return answer.body if answer.status == HTTPStatus.OK else None

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Lay a chunk there."""
        place = _stage('stage-put', model, index)
        answer = await self._site.ask('PUT', place, chunk)
        if not answer.status or answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise OrderError('engine-refused', _why(answer))

    async def activate(
        self, model: str, version: int, orders: int
    ) -> OrderResult:
        """Order it to serve what lies there, if it took so many orders."""
        body = json.dumps(
            {
                'operation': 'start',
                'model': model,
                'version': version,
                'method': 'queue',
                # The page's name for the count of orders that is expected.
                'expected_revision': orders,
            },
        )
        answer = await self._site.ask(
            'POST',
            '/linnetwood/order',
            body.encode(),
            [('Content-Type', 'application/json')],
        )
        if not answer.status:
            raise OrderError('engine-unreachable', _why(answer))
        return _ORDERS.get(answer.status, OrderResult.REFUSED)


_ORDERS: Mapping[int, OrderResult] = MappingProxyType(
    {
        int(HTTPStatus.ACCEPTED): OrderResult.TAKEN,
        int(HTTPStatus.OK): OrderResult.DONE,
        int(HTTPStatus.CONFLICT): OrderResult.CONFLICT,
    },
)


class PlatformOrigin:
    """Read manifests and pieces; the address is told while running."""

    def __init__(self, driver: CurlDriver) -> None:
        """Know no address yet."""
        self.address: tuple[str, int] | None = None
        self._driver = driver

    async def manifest(self, model: str, version: int) -> Manifest:
        """Read the digests of a version."""
        query = urlencode({'version': version})
        return _manifest(await self._manifest(f'{quote(model)}?{query}'))

    async def newest(self, model: str) -> tuple[int, Manifest]:
        """Read the newest version's number and digests."""
        # Without a number the page's call gives the newest named version.
        said = await self._manifest(quote(model), _NEWEST)
        return int(said['version']), _manifest(said)

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Read one chunk, unchecked."""
        query = urlencode({'quantity': index, 'version': version})
        place = f'/linnetwood/piece/{quote(model)}?{query}'
        answer = await self._site().ask('GET', place, patience=_PIECE)
        if answer.status != HTTPStatus.OK:
            raise WeightsError('origin-refused', _why(answer))
        return answer.body

    async def _manifest(
        self, place: str, fields: Sequence[checked.Field] = _MANIFEST
    ) -> Mapping[str, Any]:
        answer = await self._site().ask(
            'GET', f'/linnetwood/manifest/{place}', patience=_GROWING
        )
        said = _object(answer, WeightsError)
        fault = checked.faults(said, fields)
        if fault:
            raise WeightsError('manifest-malformed', fault)
        return said

    def _site(self) -> '_Site':
        if self.address is None:
            raise WeightsError('origin-unknown')
        return _Site(self.address, self._driver)


class _Site:
    """One address and how to ask it."""

    def __init__(self, address: tuple[str, int], driver: CurlDriver) -> None:
        self._address = address
        self._driver = driver

    async def ask(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: list[tuple[str, str]] | None = None,
        patience: SilenceLimits | None = None,
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
            total_s=_TIMEOUT_S,
            keep=method != 'POST',
        )
        return await ask(self._driver, req, _MOST_BYTES, patience)


def _report(said: Mapping[str, Any]) -> EngineReport:
    return EngineReport(
        waiting=int(said.get('waiting', 0)),
        running=int(said.get('running', 0)),
        kv_used=int(said.get('kv_used', 0)),
        kv_total=int(said.get('kv_total', 0)),
        serving={one['name']: one['version'] for one in said.get('models', ())},
        # The field's name misleads: true means that an order is under way.
        changing=bool(said.get('utilization')),
        orders_taken=int(said.get('sequence', 0)),
        born=int(said.get('born', 0)),
    )


def _manifest(said: Mapping[str, Any]) -> Manifest:
    try:
        digests = tuple(bytes.fromhex(one) for one in said['digests'])
        size = int(said['chunk_bytes']) * len(digests)
        return Manifest(
            size,
            int(said['chunk_bytes']),
            _UNKNOWN_WHOLE,
            digests,
        )
    except _BAD_ANSWER as exc:
        raise WeightsError('manifest-malformed', repr(exc)) from exc


def _stage(call: str, model: str, index: int | None = None) -> str:
    place = f'/linnetwood/{call}/{quote(model)}'
    # The page's name for the number of a piece.
    return place if index is None else f'{place}?quantity={index}'


def _object(answer: Answer, error: type[LinnetwoodError]) -> dict[str, Any]:
    if answer.status != HTTPStatus.OK:
        raise error('no-answer', _why(answer))
    try:
        said = json.loads(answer.body)
    except checked.UNREADABLE as exc:
        raise error('bad-answer', str(exc)) from exc
    if not isinstance(said, dict):
        raise error('bad-answer', type(said).__name__)
    return said


def _why(answer: Answer) -> str:
    return answer.finish.detail or f'status {answer.status}'
