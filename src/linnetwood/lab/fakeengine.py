"""A stand-in for a model engine, which records misuse, for tests."""

import asyncio
import dataclasses
import hashlib
import json

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

_CONFLICT = 409
_SERVICE_UNAVAILABLE = 503
_NOT_FOUND = 404
_MAX_TRACEPARENTS = 100
CALL_HEADER = 'X-Call'
VERSION_HEADER = 'X-Model-Version'


@dataclasses.dataclass(slots=True)
class EngineState:
    """Hold the staged chunks, the served version and what was recorded."""

    first_token_s: float = 0.02
    token_s: float = 0.005
    slots: int = 8
    checks_fences: bool = True
    fence: int = 0
    serving: str = ''
    manifest: str = ''
    staged: dict[str, dict[int, bytes]] = dataclasses.field(
        default_factory=dict
    )
    in_flight: int = 0
    cancelled: set[str] = dataclasses.field(default_factory=set)
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    traceparents: list[str] = dataclasses.field(default_factory=list)


def token(version: str, prompt: str, index: int) -> str:
    """Return the only correct token for a version, prompt and index."""
    seed = f'{version}|{prompt}|{index}'.encode()
    return hashlib.sha256(seed).hexdigest()[:6]


class _Base(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


class StatusHandler(_Base):
    """Report the load, the fence and the served version."""

    def get(self) -> None:
        """Return the state."""
        state = self.state
        self.write(
            {
                'fence': state.fence,
                'serving': state.serving,
                'manifest': state.manifest,
                'in_flight': state.in_flight,
                'runs': state.runs,
                'violations': state.violations,
            },
        )


class StageHandler(_Base):
    """Stage chunks before a load order."""

    def put(self, manifest: str, index: str) -> None:
        """Store only the digest, which is all that is checked."""
        digest = hashlib.sha256(self.request.body).digest()
        self.state.staged.setdefault(manifest, {})[int(index)] = digest


class OrderHandler(_Base):
    """Execute fenced load orders."""

    def post(self) -> None:
        """Load a staged version, unless the fence is stale."""
        order = json.loads(self.request.body)
        state = self.state
        if state.checks_fences and order['fence'] < state.fence:
            self.set_status(_CONFLICT)
            self.write({'code': 'stale-fence', 'fence': state.fence})
            return
        state.fence = max(state.fence, order['fence'])
        self._load(order)
        self.write({'serving': state.serving, 'fence': state.fence})

    def _load(self, order: dict[str, str]) -> None:
        state = self.state
        staged = state.staged.get(order['manifest'], {})
        digests = b''.join(staged[index] for index in sorted(staged))
        if hashlib.sha256(digests).hexdigest() != order['chunks_digest']:
            state.violations.append(f'partial weights: {order["serving"]}')
        if state.in_flight:
            state.violations.append(f'loaded during calls: {order["serving"]}')
        state.serving = order['serving']
        state.manifest = order['manifest']
        state.staged = {order['manifest']: staged}


class GenerateHandler(_Base):
    """Stream tokens."""

    async def post(self) -> None:
        """Stream all requested tokens, unless the engine is full or empty."""
        request = json.loads(self.request.body)
        state = self.state
        if state.in_flight >= state.slots:
            self.set_status(_SERVICE_UNAVAILABLE)
            return
        if not state.serving:
            self.set_status(_NOT_FOUND)
            return
        call_id = self.request.headers.get(CALL_HEADER, '')
        parent = self.request.headers.get('traceparent', '')
        if len(state.traceparents) < _MAX_TRACEPARENTS:
            state.traceparents.append(parent)
        state.runs[call_id] = state.runs.get(call_id, 0) + 1
        state.in_flight += 1
        try:
            await self._stream(request, call_id, state.serving)
        except StreamClosedError:
            state.cancelled.add(call_id)
        finally:
            state.in_flight -= 1

    async def _stream(
        self,
        request: dict[str, object],
        call_id: str,
        version: str,
    ) -> None:
        self.set_header(CALL_HEADER, call_id)
        self.set_header(VERSION_HEADER, version)
        self.set_header('Content-Type', 'text/event-stream')
        await asyncio.sleep(self.state.first_token_s)
        for index in range(int(str(request.get('max_tokens', 1)))):
            if call_id in self.state.cancelled:
                return
            text = token(version, str(request['prompt']), index)
            self.write(f'data: {text}\n\n')
            await self.flush()
            await asyncio.sleep(self.state.token_s)
        self.write('data: [DONE]\n\n')


class CancelHandler(_Base):
    """Cancel streams."""

    def post(self) -> None:
        """Cancel the stream of a call id."""
        self.state.cancelled.add(self.request.headers[CALL_HEADER])


def application(state: EngineState) -> Application:
    """Return the engine as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/status', StatusHandler, shared),
            (r'/stage/([0-9a-f]+)/(\d+)', StageHandler, shared),
            (r'/orders', OrderHandler, shared),
            (r'/generate', GenerateHandler, shared),
            (r'/cancel', CancelHandler, shared),
        ],
    )
