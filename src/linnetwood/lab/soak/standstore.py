"""A stand-in for the platform's store: ranges, watches, faults on command."""

import asyncio
import base64
import dataclasses
import json
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.web import Application

from linnetwood.core.waits import wait_for_event
from linnetwood.lab.soak.standhandler import StandInHandler
from linnetwood.lab.soak.storerates import READS_PER_S, WRITES_PER_S, Rate

_SERVICE_UNAVAILABLE = 503
_UNREADABLE = '!'
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_FORBIDDEN = 403
_FORBIDDEN_PREFIXES = ('op/', 'servers/')
_MAX_EVENTS = 400
_MILLISECONDS = 1000
_SLOW_DELAY_S = 0.5
_REVISION = 'revision'
# How late answers arrive that are as old as that.
_LAG_S = (0.2, 2.0)
_LATE_S = (0.3, 6.0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """The contents of a store at a revision, and its change history."""

    revision: int
    rows: dict[str, dict[str, Any]]
    events: tuple[dict[str, Any], ...]


class StoreState:
    """Hold keys, the last changes, and the fault mode."""

    def __init__(self) -> None:
        """Start empty and without a fault."""
        self.mode = 'pass'
        # The status that calls to such addresses of the store get.
        self.refused: dict[str, int] = {}
        # The range of how late writes are whose answers are lost.
        self.late_s = _LATE_S
        # Writes of operators that are late.
        self.pending = 0
        self.rates = {'GET': Rate(READS_PER_S), 'POST': Rate(WRITES_PER_S)}
        self.era = 1
        self.revision = 0
        # Waits until a late write is carried out.
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self._rows: dict[str, dict[str, Any]] = {}
        self._events: deque[dict[str, Any]] = deque(maxlen=_MAX_EVENTS)
        self._compacted_revision = 0
        self._copy = self.copy()
        self._changed = asyncio.Event()

    def write(self, key: str, payload: bytes | None) -> None:
        """Write a key, or delete it."""
        self.revision += 1
        row: dict[str, Any] = {'private_key': key, _REVISION: self.revision}
        if payload is None:
            self._rows.pop(key, None)
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(payload).decode()
            row['lease'] = 0
            self._rows[key] = row
        if len(self._events) == _MAX_EVENTS:
            self._compacted_revision = self._events[0][_REVISION]
        self._events.append(row)
        self.wake_watches()

    def write_unreadable(self, key: str) -> None:
        """Write a key whose value is no base64, as another writer may."""
        self.write(key, b'')
        self._rows[key]['value'] = _UNREADABLE

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is absent."""
        return int(self._rows[key][_REVISION]) if key in self._rows else 0

    def holds(self, revisions: dict[str, int]) -> bool:
        """Return whether keys still have these revisions."""
        return all(self.revision_of(key) == revisions[key] for key in revisions)

    def save(self) -> None:
        """Make the copy that the store is restored from."""
        self._copy = self.copy()

    def restore_saved(self) -> None:
        """Restore the store from the copy that was made last."""
        self.restore(self._copy)

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(self.revision, dict(self._rows), tuple(self._events))

    def restore(self, copy: StoreCopy) -> None:
        """Drop all writes since a copy; reuse their revisions in a new era."""
        self.era += 1
        self.revision = copy.revision
        self._rows = dict(copy.rows)
        self._events.clear()
        self._events.extend(copy.events)
        self.wake_watches()

    def discard_history(self) -> None:
        """Drop the change history; watches from earlier revisions get 410."""
        self._compacted_revision = self.revision
        self._events.clear()
        self.wake_watches()

    def wake_watches(self) -> None:
        """Wake all watches, so that they check for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    def rows(self, prefix: str) -> list[dict[str, Any]]:
        """Return the rows of a range, by key."""
        return [
            row
            for key, row in sorted(self._rows.items())
            if key.startswith(prefix)
        ]

    def changes_since(
        self, prefix: str, after: int
    ) -> list[dict[str, Any]] | None:
        """Return the changes after a revision, or None if some were dropped."""
        if after < self._compacted_revision or after > self.revision:
            return None
        return [
            row
            for row in self._events
            if row[_REVISION] > after and row['private_key'].startswith(prefix)
        ]

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for a change."""
        await wait_for_event(self._changed, wait_s)


class _Base(StandInHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state


class _Call(_Base):
    """Calls of programs, which faults affect."""

    async def prepare(self) -> None:
        self._closed = asyncio.Event()
        if self.state.mode == 'slow':
            await asyncio.sleep(_SLOW_DELAY_S)
        status = self.state.refused.get(self.request.host, 0)
        if not self.state.rates[str(self.request.method)].takes():
            status = _TOO_MANY_REQUESTS
        if self.state.mode == 'down':
            status = _SERVICE_UNAVAILABLE
        if status:
            self.set_status(status)
            await self.finish()

    def on_connection_close(self) -> None:
        """End the wait for an answer that is lost."""
        self._closed.set()

    async def answer(self, answer: dict[str, Any]) -> None:
        """Answer at once, or late, or not at all."""
        if self.state.mode == 'lost':
            await self._closed.wait()
            return
        if self.state.mode == 'lags':
            await asyncio.sleep(random.uniform(*_LAG_S))
        self.write(answer)

    def finish(self, chunk: Any = None) -> Any:
        """Send the era in each answer, as of the time when it is sent."""
        self.set_header('Store-Era', str(self.state.era))
        return super().finish(chunk)


class _Range(_Call):
    async def get(self) -> None:
        """Return a whole range in one page."""
        prefix = self.get_argument('path_prefix', '')
        await self.answer(
            {
                'items': self.state.rows(prefix),
                'has_more': False,
                'timestamp': self.state.revision,
            },
        )


class _Watch(_Call):
    async def get(self) -> None:
        """Return changes as soon as there are any, or none after the wait."""
        state = self.state
        prefix = self.get_argument('path_prefix', '')
        after = int(self.get_argument('after_revision'))
        wait_s = int(self.get_argument('wait_ms')) / _MILLISECONDS
        until = time.monotonic() + wait_s
        while state.mode != 'deaf' or await self._hears_again():
            events = state.changes_since(prefix, after)
            left_s = until - time.monotonic()
            if events is None:
                self.set_status(_GONE)
                return
            if events or left_s <= 0 or state.mode == 'down':
                await self.answer(
                    {'events': events, 'timestamp': state.revision}
                )
                return
            await state.wait_for_change(left_s)

    async def _hears_again(self) -> bool:
        while self.state.mode == 'deaf':
            await self.state.wait_for_change(1)
        return True


class _Lease(_Call):
    async def post(self) -> None:
        """Create a lease; no soak runs until one expires."""
        body = json.loads(self.request.body)
        await self.answer({'lease': 1, 'ttl_ms': body['ttl_ms']})


class _Txn(_Call):
    async def post(self) -> None:
        """Write and delete keys, except those of operators and servers."""
        body = json.loads(self.request.body)
        keys = [row['private_key'] for row in body['write']]
        if any(
            key.startswith(_FORBIDDEN_PREFIXES)
            for key in (*keys, *body['remove'])
        ):
            self.set_status(_FORBIDDEN)
            return
        if self.state.mode == 'lost':
            await asyncio.sleep(random.uniform(*self.state.late_s))
        expected = {
            row['private_key']: int(row[_REVISION])
            for row in body['expected_revision']
        }
        if not self.state.holds(expected):
            self.set_status(_PRECONDITION_FAILED)
            rows = map(self.state.rows, expected)
            await self.answer({'items': [row for one in rows for row in one]})
            return
        for row in body['write']:
            payload = base64.b64decode(row['value'], validate=True)
            self.state.write(row['private_key'], payload)
        for key in body['remove']:
            self.state.write(key, None)
        await self.answer({_REVISION: self.state.revision})


class _Operator(_Base):
    """Writes of operators and servers, which no fault prevents."""

    async def post(self) -> None:
        """Write keys, set the fault, or copy and restore the store.

        A write that is late is carried out if its keys are unchanged then.
        """
        body = json.loads(self.request.body)
        if 'restore' in body:
            self.state.restore_saved()
        writes = body.get('write', {})
        late_s = body.get('late_s', 0)
        if late_s:
            revisions = {key: self.state.revision_of(key) for key in writes}
            self.state.pending += 1
            await self.state.sleep(late_s)
            self.state.pending -= 1
            writes = writes if self.state.holds(revisions) else {}
        for key, wanted in writes.items():
            payload = None if wanted is None else json.dumps(wanted).encode()
            self.state.write(key, payload)
        for unreadable in body.get('spoil', ()):
            self.state.write_unreadable(unreadable)
        self.state.refused = body.get('refused', self.state.refused)
        self.state.mode = body.get('mode', self.state.mode)
        self.state.wake_watches()
        if 'forget' in body:
            self.state.discard_history()
        if 'save' in body:
            self.state.save()
        self.write({'at': time.monotonic(), _REVISION: self.state.revision})


def application(state: StoreState | None = None) -> Application:
    """Return the store as a tornado application."""
    shared = {'state': state or StoreState()}
    return Application(
        [
            ('/linnetwood/kv-range', _Range, shared),
            ('/linnetwood/kv-watch', _Watch, shared),
            ('/linnetwood/kv-lease', _Lease, shared),
            ('/linnetwood/kv-txn', _Txn, shared),
            ('/operator', _Operator, shared),
        ],
    )
