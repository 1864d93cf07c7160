"""A stand-in for the platform's store: ranges, watches, leases, writes."""

import asyncio
import base64
import json
import time
from typing import Any

from review.standins.http import Request, listen, reply

_JSON = {'Content-Type': 'application/json'}


class Store:
    """Hold keys and all changes; it answers at once and forgets nothing."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self._rows: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._leases = 0

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await listen(host, port, self._handle)

    def write(self, key: str, wanted: object | None) -> float:
        """Write a key, or delete it; return when that was acknowledged."""
        payload = None if wanted is None else json.dumps(wanted).encode()
        self._write(key, payload)
        return time.monotonic()

    def _write(self, key: str, payload: bytes | None, lease: int = 0) -> None:
        self.revision += 1
        row: dict[str, Any] = {'private_key': key, 'revision': self.revision}
        if payload is None:
            if self._rows.pop(key, None) is None:
                return
            row['deleted'] = True
        else:
            known = self._rows.get(key)
            row['value'] = base64.b64encode(payload).decode()
            row['created'] = known['created'] if known else self.revision
            row['lease'] = lease
            self._rows[key] = row
        self._events.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        if req.path == '/linnetwood/kv-range':
            return await self._answer(writer, self._range(req))
        if req.path == '/linnetwood/kv-watch':
            return await self._answer(writer, await self._watch(req))
        if req.path == '/linnetwood/kv-lease':
            self._leases += 1
            ttl_ms = json.loads(req.body)['ttl_ms']
            found = {'lease': self._leases, 'ttl_ms': ttl_ms}
            return await self._answer(writer, found)
        if req.path == '/linnetwood/kv-txn':
            return await self._txn(req, writer)
        if req.path.startswith('/linnetwood/kv-keep/'):
            return await self._answer(writer, {'ttl_ms': 10000})
        if req.path == '/linnetwood/kv-key':
            row = self._rows.get(req.query('private_key'))
            if row is not None:
                found = {**row, 'timestamp': self.revision}
                return await self._answer(writer, found)
        return await reply(writer, 404)

    async def _answer(
        self, writer: asyncio.StreamWriter, found: dict[str, Any]
    ) -> bool:
        return await reply(writer, 200, json.dumps(found).encode(), _JSON)

    def _range(self, req: Request) -> dict[str, Any]:
        prefix = req.query('path_prefix')
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key.startswith(prefix)
        ]
        return {'items': rows, 'has_more': False, 'timestamp': self.revision}

    async def _watch(self, req: Request) -> dict[str, Any]:
        prefix = req.query('path_prefix')
        after = int(req.query('after_revision'))
        until = time.monotonic() + int(req.query('wait_ms')) / 1000
        while True:
            changed = self._changed
            events = [
                row
                for row in self._events
                if row['revision'] > after
                and row['private_key'].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'timestamp': self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        change = json.loads(req.body)
        rows = change.get('write', [])
        removed = change.get('remove', [])
        keys = [row['private_key'] for row in rows] + removed
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return await reply(writer, 403)
        for expected in change.get('expected_revision', []):
            row = self._rows.get(expected['private_key'])
            if (row['revision'] if row else 0) != expected['revision']:
                return await reply(writer, 412, b'{"items":[]}', _JSON)
        for row in rows:
            payload = base64.b64decode(row['value'], validate=True)
            self._write(row['private_key'], payload, row.get('lease', 0))
        for key in removed:
            self._write(key, None)
        return await self._answer(writer, {'revision': self.revision})
