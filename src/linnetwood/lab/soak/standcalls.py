"""Handle calls at stand-in servers, some of which crash them."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator, Iterator

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from linnetwood.lab.soak.endless import Order
from linnetwood.lab.soak.fatalparts import CrashMoment, crash_moment
from linnetwood.lab.soak.history import Arrival, Notice, Run
from linnetwood.lab.soak.standanswers import (
    Answer,
    ClosingAnswer,
    HeldAnswer,
    answer_of,
    answers_without_end,
    check_connected,
    hand_over_call,
)
from linnetwood.lab.soak.standhandler import HOLD_CHECK_S, ServerHandler
from linnetwood.lab.soak.standservers import (
    POOL,
    Endlessness,
    Server,
    Servers,
    Silence,
)

# A call with this in its path crashes the server that begins to run it.
FATAL = 'fatal'
_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
_EVENT_INTERVAL_S = 0.03
_ANSWER_TIME_S = 0.02
_CRASH_DELAY_S = 0.06
_RESTART_DELAY_S = 3.0


class CallHandler(ServerHandler):
    """Run one call."""

    def initialize(self, servers: Servers, server: Server) -> None:
        """Use the state of the server and of all of them."""
        super().initialize(servers, server)
        # The arrival, until its notice has been written.
        self._unsent: Arrival | None = None

    async def post(self) -> None:
        """Run a call if it is addressed to this server and a slot is free."""
        server = self.server
        self._unsent = self.servers.record_arrival(server, self.request.headers)
        for header in _notice_headers(server.notice):
            self.set_header(*header)
        if self._refuses():
            with contextlib.suppress(StreamClosedError):
                await self._wait_until_heard()
            return
        await self._run(self.servers.record_run(server, self))

    async def get(self) -> None:
        """Run a call that may be repeated."""
        await self.post()

    def on_connection_close(self) -> None:
        """Stop the call, since the client disconnected."""
        self.is_disconnected = True

    def _refuses(self) -> bool:
        """Write the head of a refusal if the call can't run here."""
        server = self.server
        if not _is_addressed(server, self.request.headers):
            self.set_header('X-Instance-Id', server.name)
            self.set_header('At-Server', server.name)
            self.set_status(_MISDIRECTED)
            return True
        full = len(server.running) >= server.slots
        if full or server.changing or server.notice.rest_s:
            self.set_header('X-Not-Executed', '1')
            self.set_status(_SERVICE_UNAVAILABLE)
            return True
        return False

    async def _run(self, run: Run) -> None:
        running = self.server.running
        running.add(self)
        try:
            await self._crash_if_fatal(run)
            await self._serve(run)
            run.finished = True
        except (StreamClosedError, asyncio.CancelledError):
            run.finished = False
        finally:
            run.ended_at = time.monotonic()
            running.discard(self)

    async def _crash_if_fatal(self, run: Run) -> None:
        """Crash the server if this call is fatal."""
        if FATAL in self.request.path:
            await self._crash_server(run)

    async def _crash_server(self, run: Run) -> None:
        server = self.server
        incarnation = server.incarnation
        await asyncio.sleep(_CRASH_DELAY_S)
        if server.alive and server.incarnation == incarnation:
            run.crashed = True
            server.crash()
            asyncio.get_running_loop().call_later(
                _RESTART_DELAY_S, _restart, server
            )
        raise StreamClosedError

    async def _serve(self, run: Run) -> None:
        engine = self.server.service == POOL
        endless = self.servers.endless.get(run.server, Endlessness())
        if answers_without_end(run.call_id, endless.period):
            self._sign(run)
            order = Order(run.call_id, run.server, endless.framing)
            hand_over_call(self, self.servers.endless_path, order)
            return
        await (self._stream(run) if engine else self._answer(run))

    async def _answer(self, run: Run) -> None:
        await asyncio.sleep(_ANSWER_TIME_S)
        run.body = f'{run.server} {run.call_id} {run.signature}'
        self._sign(run)
        await self._wait_until_heard()
        answer = self._held(answer_of(self, run.call_id, streams=False))
        answer.begin()
        await answer.send(run.body)
        await answer.end()

    async def _stream(self, run: Run) -> None:
        self._sign(run)
        moment = crash_moment(self.request.headers.get('X-Prompt-Prefix', ''))
        closes = moment is not None and moment.ends_with_connection
        await self._wait_until_heard()
        answer = self._held(
            ClosingAnswer(self)
            if closes
            else answer_of(self, run.call_id, streams=True)
        )
        answer.begin()
        if moment is not None:
            await self._crash_in_answer(run, answer, moment)
        async for event in self._events(run):
            await answer.send(event)
            self._unsent = None
        await answer.end()

    async def _crash_in_answer(
        self, run: Run, answer: Answer, moment: CrashMoment
    ) -> None:
        if moment is not CrashMoment.BEFORE_EVENTS:
            event = await anext(self._events(run))
            if moment is CrashMoment.INSIDE_EVENT:
                event = event.rstrip()
            await answer.send(event)
        await self._crash_server(run)

    async def _events(self, run: Run) -> AsyncIterator[str]:
        counts = self.request.headers.get('X-Token-Counts', '10,10')
        total = int(counts.partition(',')[2])
        after = int(self.request.headers.get('Last-Event-Id', '0'))
        for number in range(after + 1, total + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            check_connected(self)
            row = f'{run.call_id}|{number}|{total}|{run.version}'
            yield f'id: {number}\ndata: {row}\n\n'

    def _held(self, answer: Answer) -> Answer:
        return HeldAnswer(answer, self._wait_until_heard)

    async def _wait_until_heard(self) -> None:
        """Wait while the server is silent; raise if the client disconnects."""
        if not self.server.is_silent(Silence.ANSWERS):
            return
        if self._unsent is not None:
            self._unsent.held_until = math.inf
        while self.server.is_silent(Silence.ANSWERS):
            check_connected(self)
            await asyncio.sleep(HOLD_CHECK_S)
        if self._unsent is not None:
            self._unsent.held_until = time.monotonic()

    def _sign(self, run: Run) -> None:
        self.set_header('X-Attempt-Id', run.call_id)
        self.set_header('X-Server-Signature', run.signature)
        if self.server.service == POOL:
            self.set_header('X-Weight-Versions', str(run.version))
            self.set_header('Content-Type', 'text/event-stream')


def _is_addressed(server: Server, headers: HTTPHeaders) -> bool:
    """Return whether a call names this server and the served version."""
    if headers.get('X-Expected-Instance', '') != server.name:
        return False
    wanted = headers.get('X-Expected-Version', str(server.serving))
    serves = bool(server.serving) or server.service != POOL
    return serves and wanted == str(server.serving)


def _notice_headers(notice: Notice) -> Iterator[tuple[str, str]]:
    """Yield the headers of a notice."""
    if notice.limit:
        yield 'Server-Limit', str(notice.limit)
    if notice.leaving:
        yield 'Server-Leaving', '1'
    if notice.rest_s:
        yield 'Retry-After', str(notice.rest_s)


def _restart(server: Server) -> None:
    if not server.alive:
        server.restart(keep_staged=True)
