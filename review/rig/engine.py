"""Stand-ins for model servers, plain servers and the origin of weights."""

import asyncio
import functools
import hashlib
import json
import secrets
from collections import deque
from urllib.parse import parse_qs, urlsplit

from review.rig.http1 import Server

MODEL = 'm0'
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
ORIGIN_BYTES_PER_S = 912500


@functools.cache
def piece(version, index):
    """Return the right bytes of one piece."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return (seed * CHUNK_BYTES)[:CHUNK_BYTES]


def manifest(version):
    """Return the manifest of a version."""
    return {
        'model': MODEL, 'version': version, 'chunk_bytes': CHUNK_BYTES,
        'layers': LAYERS,
        'digests': [hashlib.sha256(piece(version, one)).hexdigest()
                    for one in range(CHUNKS)],
    }


class Origin:
    """Give manifests and pieces."""

    def __init__(self):
        self.newest = 1
        self.link = asyncio.Lock()
        self.server = Server(self.handle)

    async def handle(self, req):
        """Answer one call."""
        parts = urlsplit(req.target)
        query = {one: text[0] for one, text in parse_qs(parts.query).items()}
        version = int(query.get('version', self.newest))
        if version > self.newest:
            await req.conn.answer(404)
        elif parts.path.startswith('/linnetwood/manifest/'):
            await req.conn.answer(200, [('Content-Type', 'application/json')],
                                  json.dumps(manifest(version)).encode())
        else:
            found = piece(version, int(query['quantity']))
            async with self.link:
                await asyncio.sleep(len(found) / ORIGIN_BYTES_PER_S)
            await req.conn.answer(200, (), found)


class Run:
    """One request at a server."""

    def __init__(self, req, server, now):
        self.call = req.get('X-Attempt-Id')
        self.server = server.name
        self.service = server.service
        self.version = server.serving
        self.arrived = now
        self.started = None
        self.ended = None
        self.whole = False
        self.refused = 0
        self.path = req.target
        self.tenant = req.get('X-Tenant')
        self.deadline_ms = req.get('X-Deadline-Ms')
        self.signature = f'{server.name}.{secrets.token_hex(4)}'

    def row(self):
        """Return what the record says."""
        return dict(vars(self))


class Plain:
    """A server of a service without engines; it answers after `work_s`."""

    def __init__(self, rig, name, service, host, port, zone, slots=6):
        self.rig = rig
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.serving = 0
        self.state = 'ready'
        self.sequence = 0
        self.work_s = 0.05
        self.running = []
        self.server = Server(self.handle)

    def record(self):
        """Return the entry in the store."""
        found = {
            'service': self.service, 'address': f'{self.host}:{self.port}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'cold_remaining_ms': 0,
            'sequence': self.sequence,
        }
        if self.serving:
            found['models'] = [{'name': MODEL, 'version': self.serving,
                                'adapters': []}]
            found['stage'] = 'combined'
        return found

    def publish(self):
        """Write the entry."""
        self.rig.store.write(f'servers/{self.name}', self.record())

    def admits(self, req):
        """Return the status of a refusal, 0 for none."""
        if req.get('X-Expected-Instance', self.name) != self.name:
            return 421
        if len(self.running) >= self.slots:
            return 503
        return 0

    async def refuse(self, req, run, status):
        """Turn a request away."""
        run.refused = status
        headers = [('X-Not-Executed', '1')] if status != 421 else [
            ('X-Instance-Id', self.name)]
        await req.conn.answer(status, headers)

    async def handle(self, req):
        """Run one request."""
        if req.target == '/health':
            await req.conn.answer(200, [('X-Instance-Id', self.name)])
            return
        run = Run(req, self, self.rig.now())
        self.rig.runs.append(run)
        status = self.admits(req)
        if status:
            await self.refuse(req, run, status)
            return
        run.started = self.rig.now()
        self.running.append(run)
        try:
            await self.work(req, run)
            run.whole = True
        finally:
            run.ended = self.rig.now()
            self.running.remove(run)

    async def work(self, req, run):
        """Answer."""
        await asyncio.sleep(self.work_s)
        body = f'{run.call} {run.signature}'.encode()
        await req.conn.answer(200, self.signed(run), body)

    def signed(self, run):
        """Return the headers of an answer."""
        return [('X-Attempt-Id', run.call),
                ('X-Server-Signature', run.signature)]


class Engine(Plain):
    """A model server: slots, a queue, a report, staged pieces, orders."""

    def __init__(self, rig, name, service, host, port, zone, slots=16):
        super().__init__(rig, name, service, host, port, zone, slots)
        self.serving = 1
        self.queue = deque()
        self.queue_max = 32
        self.event_s = 0.05
        self.read_s = 0.05
        self.pace = 1
        self.staged = {}
        self.changing = None
        self.taken = {}
        self.warm_s = 0.3
        self.eol = '\n'
        self.awake = asyncio.Event()
        self.awake.set()
        self.faults = []

    async def sleep(self, seconds):
        """Sleep; a machine that stands still goes on when it wakes."""
        await asyncio.sleep(seconds)
        await self.awake.wait()

    def report(self):
        """Return the report."""
        return {
            'stage': 'combined',
            'models': [{'name': MODEL, 'version': self.serving,
                        'adapters': []}] if self.serving else [],
            'utilization': self.changing is not None,
            'sequence': self.sequence,
            'waiting': len(self.queue),
            'running': len(self.running),
            'kv_used': 0, 'kv_total': 300000, 'handles': 0,
            'pace': self.pace,
        }

    async def handle(self, req):
        """Serve the engine's own calls, or run a request."""
        await self.awake.wait()
        parts = urlsplit(req.target)
        query = {one: text[0] for one, text in parse_qs(parts.query).items()}
        path = parts.path
        json_type = [('Content-Type', 'application/json')]
        if path == '/linnetwood/report':
            await req.conn.answer(200, json_type,
                                  json.dumps(self.report()).encode())
        elif path.startswith('/linnetwood/stage-put/'):
            self.staged[int(query['quantity'])] = req.body
            await req.conn.answer(200)
        elif path.startswith('/linnetwood/stage-get/'):
            if 'quantity' not in query:
                held = json.dumps({'held': sorted(self.staged)}).encode()
                await req.conn.answer(200, json_type, held)
            elif int(query['quantity']) in self.staged:
                await req.conn.answer(200, (),
                                      self.staged[int(query['quantity'])])
            else:
                await req.conn.answer(404)
        elif path == '/linnetwood/order':
            status = self.order(json.loads(req.body))
            await req.conn.answer(status)
        else:
            await super().handle(req)

    def order(self, body):
        """Take an order to start a version."""
        if body['version'] == self.serving:
            return 200
        expected = body.get('expected_revision', self.sequence)
        if self.changing is not None or expected != self.sequence:
            return 409
        self.sequence += 1
        self.changing = body['version']
        for index in range(CHUNKS):
            if self.staged.get(index) != piece(body['version'], index):
                self.faults.append((self.name, body['version'], index))
        asyncio.get_running_loop().create_task(self.change())
        return 202

    async def change(self):
        """Load what was taken, after what runs and waits."""
        while self.running or self.queue:
            await self.sleep(0.01)
        await self.sleep(self.warm_s)
        self.serving, self.changing = self.changing, None
        self.publish()
        self.rig.note(f'{self.name} serves version {self.serving}')

    def admits(self, req):
        """Return the status of a refusal, 0 for none."""
        if req.get('X-Expected-Instance', self.name) != self.name:
            return 421
        wanted = req.get('X-Expected-Version', str(self.serving))
        if wanted != str(self.serving):
            return 421
        if self.changing is not None or len(self.queue) >= self.queue_max:
            return 503
        return 0

    async def work(self, req, run):
        """Write a stream of events."""
        # Plain.handle counts it as running; it waits for a slot first.
        run.started = None
        self.running.remove(run)
        self.queue.append(run)
        try:
            while self.queue[0] is not run or (
                    len(self.running) >= self.slots):
                await self.sleep(0.005)
        finally:
            self.queue.remove(run)
            self.running.append(run)
        await self.sleep(self.read_s * self.pace)
        total = int(req.get('X-Token-Counts', '10,100').split(',')[1]) // 5
        after = int(req.get('Last-Event-Id', '0') or 0)
        headers = [*self.signed(run), ('Content-Type', 'text/event-stream'),
                   ('X-Weight-Versions', str(self.serving))]
        run.version = self.serving
        run.started = self.rig.now()
        await req.conn.begin(200, headers)
        for number in range(after + 1, total + 1):
            eol = self.eol
            event = f'id: {number}{eol}data: {run.call} {number}/{total}{eol}'
            await req.conn.chunk((event + eol).encode())
            await self.sleep(self.event_s * self.pace)
        await req.conn.chunk(b'')
