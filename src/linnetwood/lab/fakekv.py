"""A stand-in key-value service with outages and lost answers, for tests."""

import asyncio
import time

from tornado.web import Application, RequestHandler

from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.kvtable import MAX_VALUE, KvTable
from linnetwood.fleet.store import VERSION_HEADER

_CONFLICT = 409
_NOT_FOUND = 404
_NOT_MODIFIED = 304
_SERVICE_UNAVAILABLE = 503
_TOO_LARGE = 413


class KvState:
    """Hold the table, the fault settings and the call count."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.table = KvTable()
        self.changed = asyncio.Event()
        self.calls = 0
        self.down = False
        self.slow_s = float()
        self.lose_answers = 0


class _Base(RequestHandler):
    def initialize(self, state: KvState) -> None:
        self.state = state

    async def prepare(self) -> None:
        self.state.calls += 1
        if self.state.slow_s:
            await asyncio.sleep(self.state.slow_s)
        if self.state.down:
            self.set_status(_SERVICE_UNAVAILABLE)
            await self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


class KeyHandler(_Base):
    """Serve one key."""

    async def get(self, key: str) -> None:
        """Read a key, or wait for a version above `after`."""
        after = int(self.get_argument('after', '-1'))
        until = time.monotonic() + float(self.get_argument('wait', '0'))
        entry = self.state.table.get(key, time.monotonic())
        while after >= 0 and (entry is None or entry.version <= after):
            left_s = until - time.monotonic()
            if left_s <= 0 or self.state.down:
                self.set_status(_NOT_MODIFIED)
                return
            await self._wait(min(left_s, 1.0))
            entry = self.state.table.get(key, time.monotonic())
        if entry is None:
            self.set_status(_NOT_FOUND)
            return
        self.set_header(VERSION_HEADER, str(entry.version))
        self.write(entry.payload)

    async def put(self, key: str) -> None:
        """Compare and swap a key."""
        if len(self.request.body) > MAX_VALUE:
            self.set_status(_TOO_LARGE)
            return
        swap = self.state.table.swap(
            key,
            self.request.body,
            int(self.get_argument('expect')),
            time.monotonic(),
            int(self.get_argument('lease', '0')),
        )
        self.state.changed.set()
        self.state.changed = asyncio.Event()
        if swap.done and self.state.lose_answers > 0:
            self.state.lose_answers -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_header(VERSION_HEADER, str(swap.version))
        if not swap.done:
            self.set_status(_CONFLICT)

    async def _wait(self, left_s: float) -> None:
        await wait_for_event(self.state.changed, left_s)


class LeaseHandler(_Base):
    """Grant and renew leases."""

    async def post(self, lease: str) -> None:
        """Grant a lease, or renew the given one."""
        ttl_s = float(self.get_argument('ttl'))
        now = time.monotonic()
        if not lease:
            self.write(str(self.state.table.grant(ttl_s, now)))
        elif not self.state.table.renew(int(lease), ttl_s, now):
            self.set_status(_NOT_FOUND)


class ControlHandler(RequestHandler):
    """Set faults and read the call count; not part of the real service."""

    def initialize(self, state: KvState) -> None:
        """Use the service's state."""
        self.state = state

    def get(self) -> None:
        """Return the number of calls so far."""
        self.write({'calls': self.state.calls})

    def post(self) -> None:
        """Switch faults on or off."""
        self.state.down = self.get_argument('down', '0') == '1'
        self.state.slow_s = float(self.get_argument('slow_s', '0'))
        self.state.lose_answers = int(self.get_argument('lose_answers', '0'))

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


def application(state: KvState) -> Application:
    """Return the service as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/kv/(.+)', KeyHandler, shared),
            (r'/leases/(\d*)', LeaseHandler, shared),
            (r'/control', ControlHandler, shared),
        ],
    )
