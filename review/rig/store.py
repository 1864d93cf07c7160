"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from review.rig.http1 import Server

PAGE = 500


class Store:
    """Hold keys, and answer ranges, watches, transactions and leases."""

    def __init__(self):
        self.revision = 1
        self.rows = {}
        self.events = []
        self.changed = asyncio.Event()
        self.leases = 0
        self.server = Server(self.handle)

    def write(self, key, value):
        """Write JSON under a key (None deletes it); return the revision."""
        self.revision += 1
        if value is None:
            self.rows.pop(key, None)
            row = {'private_key': key, 'revision': self.revision,
                   'deleted': True}
        else:
            raw = value if isinstance(value, bytes) else (
                json.dumps(value).encode()
            )
            old = self.rows.get(key)
            row = {
                'private_key': key,
                'value': base64.b64encode(raw).decode(),
                'revision': self.revision,
                'created': old['created'] if old else self.revision,
                'lease': 0,
            }
            self.rows[key] = row
        self.events.append(row)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def handle(self, req):
        """Answer one call."""
        parts = urlsplit(req.target)
        query = {one: text[0] for one, text in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        status, answer = 404, {}
        if path == '/linnetwood/kv-range':
            status, answer = 200, self.range(query)
        elif path == '/linnetwood/kv-watch':
            status, answer = 200, await self.watch(query)
        elif path == '/linnetwood/kv-lease':
            self.leases += 1
            body = json.loads(req.body)
            status = 200
            answer = {'lease': self.leases, 'ttl_ms': body['ttl_ms']}
        elif path.startswith('/linnetwood/kv-keep/'):
            status = 200
        elif path == '/linnetwood/kv-txn':
            status, answer = self.txn(json.loads(req.body))
        await req.conn.answer(
            status,
            [('Content-Type', 'application/json')],
            json.dumps(answer).encode(),
        )

    def range(self, query):
        """Return one page."""
        prefix = query.get('path_prefix', '')
        after = query.get('after_revision', '')
        found = [row for key, row in sorted(self.rows.items())
                 if key.startswith(prefix) and key > after]
        return {'items': found[:PAGE], 'has_more': len(found) > PAGE,
                'timestamp': self.revision}

    async def watch(self, query):
        """Return changes as soon as there are any."""
        prefix = query.get('path_prefix', '')
        after = int(query['after_revision'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / 1000
        while True:
            found = [row for row in self.events
                     if row['revision'] > after
                     and row['private_key'].startswith(prefix)]
            left_s = until - loop.time()
            if found or left_s <= 0:
                return {'events': found, 'timestamp': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def txn(self, body):
        """Write all or nothing."""
        for row in body.get('write', ()):
            if row['private_key'].startswith(('op/', 'servers/')):
                return 403, {}
        for row in body.get('write', ()):
            self.write(row['private_key'], base64.b64decode(row['value']))
        for key in body.get('remove', ()):
            self.write(key, None)
        return 200, {'revision': self.revision}
