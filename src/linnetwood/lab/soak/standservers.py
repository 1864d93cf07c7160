"""The state of stand-ins for engines, plain servers and the origin.

Each server records the calls that it began.
"""

import dataclasses
import enum
import hashlib
import secrets
import time
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.web import Application, RequestHandler

from linnetwood.lab.soak.history import Arrival, Notice, Run
from linnetwood.lab.soak.standanswers import close_connection

_SIGNATURE_BYTES = 4
_MILLISECONDS = 1000
POOL = 'pool'
MODEL = 'm-1'
CHUNKS = 8
CHUNK_BYTES = 2048


class Silence(enum.IntEnum):
    """What a server holds back for a time; each includes those before it."""

    NONE = 0
    ANSWERS = 1
    REPORTS = 2
    # The server takes connections and handles no requests.
    EVERYTHING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Endlessness:
    """The part of answers that does not end, in one of some calls."""

    framing: str = ''
    # One in so many calls; 0 for none.
    period: int = 0


def make_chunk(version: int, index: int) -> bytes:
    """Return the valid chunk of a version at an index."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return (seed * CHUNK_BYTES)[:CHUNK_BYTES]


class Server:
    """One server of a service; an engine if it has a model."""

    def __init__(self, name: str, service: str, slots: int) -> None:
        """Start without weights or calls."""
        self.name = name
        self.service = service
        self.slots = slots
        self.serving = 0
        self.alive = True
        self.draining = False
        self.changing = False
        self.notice = Notice()
        self.sequence = 0
        self.incarnation = _now_ms()
        self.staged: dict[int, bytes] = {}
        self.running: set[RequestHandler] = set()
        self._silence = Silence.NONE
        self._port = 0
        self._app: Application | None = None
        self._listening: HTTPServer | None = None

    def listen(self, app: Application, port: int) -> None:
        """Accept calls on a port of the loopback address."""
        self._app = app
        self._port = port
        # A stopped HTTP server can't listen again.
        self._listening = HTTPServer(app)
        self._listening.listen(port, '127.0.0.1')

    def is_silent(self, silence: Silence) -> bool:
        """Return whether the server holds this back."""
        return self._silence >= silence

    def fall_silent(self, silence: Silence) -> None:
        """Hold back answers, or go on; a dark server stays dark."""
        if self._silence is not Silence.EVERYTHING:
            self._silence = silence

    def restart(self, *, keep_staged: bool) -> None:
        """Start a new incarnation; staged chunks may be kept."""
        self.incarnation = max(self.incarnation + 1, _now_ms())
        self.notice = Notice()
        self._silence = Silence.NONE
        self.serving = 0
        self.sequence = 0
        self.changing = False
        if not self.alive and self._app is not None:
            self.listen(self._app, self._port)
        self.alive = True
        if not keep_staged:
            self.staged.clear()

    def crash(self) -> None:
        """Abort every call, and accept no more."""
        if self.alive and self._listening is not None:
            self._listening.stop()
        self.alive = False
        self._silence = Silence.NONE
        for handler in tuple(self.running):
            close_connection(handler)

    def record(self, address: str, zone: str) -> dict[str, Any]:
        """Return the record that the server writes to the store."""
        record: dict[str, Any] = {
            'service': self.service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.incarnation,
        }
        if self.service == POOL:
            record['models'] = self.served_models()
        return record

    def served_models(self) -> list[dict[str, Any]]:
        """Return the served models as they are reported."""
        if not self.serving:
            return []
        return [{'name': MODEL, 'version': self.serving, 'adapters': []}]


class Servers:
    """All servers, and the calls that they received."""

    def __init__(self, endless_path: str = '') -> None:
        """Start without servers; answers without end are sent elsewhere."""
        self.endless_path = endless_path
        self.endless: dict[str, Endlessness] = {}
        self.servers: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.weight_errors: list[str] = []
        self.spoils = False
        self.origin_silent = False
        # The newest version that the origin has.
        self.newest = 1

    def record_arrival(self, server: Server, headers: HTTPHeaders) -> Arrival:
        """Record that a call arrived."""
        call_id = headers.get('X-Attempt-Id', '')
        now = time.monotonic()
        arrival = Arrival(
            call_id, server.name, now, server.notice, server.incarnation
        )
        self.arrivals.append(arrival)
        return arrival

    def record_run(self, server: Server, handler: RequestHandler) -> Run:
        """Record that a call begins to run."""
        headers = handler.request.headers
        run = Run(
            headers.get('X-Attempt-Id', ''),
            server.name,
            server.service,
            time.monotonic(),
            server.serving,
            int(headers.get('X-Deadline-Ms', '0')),
            f'{server.name}.{secrets.token_hex(_SIGNATURE_BYTES)}',
            headers.get('X-Tenant', ''),
        )
        self.runs.append(run)
        return run


def _now_ms() -> int:
    return int(time.time() * _MILLISECONDS)
