"""Endpoints that follow scripts, and a driver that carries calls to them.

Each transfer is played by a task of its own, so that several transfers of one
call may be open at once. A cancelled transfer is played on without a receiver:
this shows what a caller lost by the cancellation.
"""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable, Iterator

from linnetwood.wire.curldriver import TIMED_OUT, CurlDriver, Transfer
from linnetwood.wire.curlrequest import Finish, Headers, Receiver, Request

# Events of a whole answer.
COUNT = 4
# Binary fractions: sums of them are exact, so that events can coincide.
EVENT_INTERVAL_S = 0.125
HEAD_S = 0.0625
_MILLISECONDS = 1000
CALL_ID = 'c-1'
_PIECE_BYTES = 3
_TORN = b'id:'


class Reply(enum.Enum):
    """What an endpoint answers a call with."""

    STREAM = 'stream'
    # Ends with its connection: nothing else shows that it is whole.
    UNFRAMED = 'unframed'
    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    MISSING = 'missing'
    # Not from an endpoint of the platform.
    FOREIGN = 'foreign'
    UNREACHABLE = 'unreachable'


NOT_BEGUN = frozenset((Reply.REFUSED, Reply.MISDIRECTED, Reply.UNREACHABLE))
STREAMED = frozenset((Reply.STREAM, Reply.UNFRAMED))
_STATUSES = {
    Reply.REFUSED: 503,
    Reply.MISDIRECTED: 421,
    Reply.FAILED: 500,
    Reply.MISSING: 404,
}


class Act(enum.Enum):
    """One step of a script."""

    # Send the next event.
    EVENT = 'event'
    # Send a piece of the next event, the rest of which follows with it.
    PIECE = 'piece'
    # Send two events, the second of them in part.
    RUN_ON = 'run-on'
    SILENCE = 'silence'
    CRASH = 'crash'
    # End whole within an event.
    TEAR = 'tear'
    # Silence for good.
    HANG = 'hang'


_SENDING = frozenset((Act.EVENT, Act.PIECE, Act.RUN_ON))


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step, and how long a silence lasts in seconds."""

    act: Act
    silent_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What an endpoint does with a call; it ends whole after all steps."""

    reply: Reply = Reply.STREAM
    steps: tuple[Step, ...] = ()
    # Silence before the head of the answer.
    head_s: float = HEAD_S
    version: int = 1


def event(number: int, version: int) -> bytes:
    """Return one event, which names its version."""
    return b'id: %d\ndata: v%d\n\n' % (number, version)


def events_from(first: int, version: int) -> bytes:
    """Return an answer from one event to the last."""
    return b''.join(
        event(number, version) for number in range(first, COUNT + 1)
    )


class Crashed(Exception):
    """An endpoint broke off."""


class Flow:
    """One transfer as its endpoint plays it."""

    def __init__(
        self, script: Script, port: int, after: int, transfer: Transfer
    ) -> None:
        self.script = script
        self.port = port
        self.after = after
        self.transfer = transfer
        self.receiver: Receiver | None = transfer.receiver
        self.begun_at = asyncio.get_running_loop().time()
        self.cancelled_at = math.inf
        # When it broke off, refused or ended by itself.
        self.ended_at = math.inf
        # When something new came after it was cancelled.
        self.went_on_at = math.inf
        self.is_whole = False
        # Whether its end was delivered, or came with its time.
        self.is_heard = False
        self.is_timed_out = False
        # When its endpoint sent the first bytes, and had sent a whole event.
        self.began_at = math.inf
        self.started_at = math.inf
        self.connect_s = math.inf
        self.is_paused = False
        self.held: list[Callable[[], None]] = []
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the entry holds it open."""
        return self.receiver is not None

    @property
    def reached(self) -> bool:
        """Return whether its endpoint got the request."""
        return self.script.reply is not Reply.UNREACHABLE

    @property
    def ran(self) -> bool:
        """Return whether its endpoint may have begun the call."""
        return self.script.reply not in NOT_BEGUN

    def head(self) -> tuple[int, Headers]:
        """Return the head of its answer."""
        reply = self.script.reply
        headers = [('X-Attempt-Id', CALL_ID)]
        if reply is Reply.REFUSED:
            headers.append(('X-Not-Executed', '1'))
        elif reply is not Reply.FOREIGN:
            headers.append(('X-Server-Signature', f's-{self.port}'))
            headers.append(('X-Weight-Versions', str(self.script.version)))
        if reply is not Reply.UNFRAMED:
            headers.append(('Transfer-Encoding', 'chunked'))
        return _STATUSES.get(reply, 200), headers

    def pieces(self) -> Iterator['Piece | Step']:
        """Yield the pieces of its body, and the steps between them."""
        body = _Body(self.after + 1, self.script.version)
        for step in self.script.steps:
            if step.act not in _SENDING:
                yield step
            elif body.number <= COUNT:
                yield from body.play(step.act)
        while body.number <= COUNT:
            yield from body.play(Act.EVENT)


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Bytes of a body, and whether an event is whole with them."""

    octets: bytes
    completes: bool


class _Body:
    """The events that an endpoint sends in pieces."""

    def __init__(self, number: int, version: int) -> None:
        self.number = number
        self._version = version
        self._left = event(number, version)

    def play(self, act: Act) -> Iterator[Piece]:
        """Yield what a step sends, if anything."""
        if act is Act.PIECE:
            octets = self._take(min(_PIECE_BYTES, len(self._left) - 1))
            if octets:
                yield Piece(octets, completes=False)
            return
        octets = self._take(len(self._left))
        self._next()
        if act is Act.RUN_ON and self.number <= COUNT:
            octets += self._take(len(self._left) - 1)
        yield Piece(octets, completes=True)

    def _take(self, size: int) -> bytes:
        octets = self._left[:size]
        self._left = self._left[size:]
        return octets

    def _next(self) -> None:
        self.number += 1
        self._left = event(self.number, self._version)


class ScriptedDriver(CurlDriver):
    """Carry calls to scripted endpoints, each by its port."""

    def __init__(self, scripts: dict[int, Script]) -> None:
        self.loop = asyncio.get_running_loop()
        self.scripts = scripts
        self.flows: list[Flow] = []
        self.by_transfer: dict[Transfer, Flow] = {}
        self.crashed: set[int] = set()
        # The transfers that went on with the answer, and when.
        self.feeds: list[tuple[float, Flow]] = []
        # Whether a call was sent elsewhere since its caller read nothing.
        self.sent_beside_paused = False
        # How many bytes the caller has got.
        self.sent_bytes: Callable[[], int] = int

    def begin(self, req: Request, receiver: Receiver) -> Transfer:
        """Play a script from behind the last event that the caller has."""
        headers = dict(req.headers)
        after = int(headers.get('Last-Event-Id', '0'))
        script = self.scripts[req.port]
        version = headers.get('X-Expected-Version', str(script.version))
        if version != str(script.version) and script.reply in STREAMED:
            script = dataclasses.replace(script, reply=Reply.MISDIRECTED)
        if any(flow.is_paused for flow in self.flows):
            self.sent_beside_paused = True
        transfer = Transfer(receiver)
        flow = Flow(script, req.port, after, transfer)
        self.flows.append(flow)
        self.by_transfer[transfer] = flow
        flow.connect_s = req.connect_s
        flow.task = asyncio.create_task(self._play(flow))
        limit_s = max(1, int(req.total_s * _MILLISECONDS)) / _MILLISECONDS
        flow.timer = self.loop.call_later(limit_s, self._end_late, flow)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Stop a transfer at once; its endpoint is played on unheard."""
        flow = self.by_transfer[transfer]
        if not flow.is_open:
            return
        self._close(flow)
        flow.cancelled_at = self.loop.time()

    def pause(self, transfer: Transfer) -> None:
        """Hold back what follows."""
        flow = self.by_transfer[transfer]
        flow.is_paused = flow.is_open

    def resume(self, transfer: Transfer) -> None:
        """Pass on what was held back, until it is paused again."""
        flow = self.by_transfer[transfer]
        flow.is_paused = False
        while flow.held and not flow.is_paused:
            flow.held.pop(0)()

    @property
    def open(self) -> list[Flow]:
        """Return the transfers that the entry holds open."""
        return [flow for flow in self.flows if flow.is_open]

    async def settle(self) -> None:
        """Play all endpoints to their ends."""
        tasks = [flow.task for flow in self.flows if flow.task is not None]
        await asyncio.gather(*tasks)

    def was_overtaken(self, flow: Flow) -> bool:
        """Return whether it was cancelled just as another one went on."""
        return any(
            at == flow.cancelled_at and other is not flow
            for at, other in self.feeds
        )

    def _close(self, flow: Flow) -> None:
        flow.receiver = None
        flow.is_paused = False
        flow.held.clear()
        if flow.timer is not None:
            flow.timer.cancel()

    def _end_late(self, flow: Flow) -> None:
        receiver = flow.receiver
        if receiver is not None:
            self._close(flow)
            flow.is_timed_out = True
            flow.ended_at = self.loop.time()
            receiver.done(Finish(False, flow.reached, TIMED_OUT))

    async def _play(self, flow: Flow) -> None:
        try:
            await self._answer(flow)
        except Crashed as exc:
            seems_whole = flow.script.reply is Reply.UNFRAMED
            if exc.args == (Act.TEAR,) and flow.script.reply in STREAMED:
                seems_whole = True
                piece = Piece(_TORN, completes=False)
                self._pass(flow, self._body, flow, piece)
            else:
                self.crashed.add(flow.port)
            self._pass(flow, self._done, flow, seems_whole)

    async def _answer(self, flow: Flow) -> None:
        script = flow.script
        if flow.reached:
            await asyncio.sleep(script.head_s)
        else:
            await asyncio.sleep(min(script.head_s, flow.connect_s))
            self._pass(flow, self._done, flow, False)
            return
        self._pass(flow, self._head, flow)
        if script.reply in STREAMED:
            await self._send_events(flow)
        else:
            await self._send_error(flow)
        flow.is_whole = True
        self._pass(flow, self._done, flow, True)

    async def _send_events(self, flow: Flow) -> None:
        for piece in flow.pieces():
            if isinstance(piece, Step):
                await self._step(piece)
            else:
                await asyncio.sleep(EVENT_INTERVAL_S)
                self._pass(flow, self._body, flow, piece)
        await asyncio.sleep(EVENT_INTERVAL_S)

    async def _send_error(self, flow: Flow) -> None:
        body = Piece(flow.script.reply.value.encode(), completes=False)
        self._pass(flow, self._body, flow, body)
        for step in flow.script.steps:
            if step.act not in _SENDING:
                await self._step(step)

    async def _step(self, step: Step) -> None:
        if step.act in {Act.CRASH, Act.TEAR}:
            raise Crashed(step.act)
        silent_s = step.silent_s
        if step.act is Act.HANG:
            silent_s = 1000
        await asyncio.sleep(silent_s)

    def _pass(
        self, flow: Flow, deliver: Callable[..., None], *parts: object
    ) -> None:
        """Deliver to the receiver at once, or later if it is paused."""
        if isinstance(parts[-1], Piece):
            flow.began_at = min(flow.began_at, self.loop.time())
        if isinstance(parts[-1], Piece) and parts[-1].completes:
            flow.started_at = min(flow.started_at, self.loop.time())
        if flow.is_paused or flow.held:
            flow.held.append(lambda: deliver(*parts))
        elif flow.is_open:
            deliver(*parts)
        else:
            self._note_unheard(flow, deliver, parts)

    def _note_unheard(
        self,
        flow: Flow,
        deliver: Callable[..., None],
        parts: tuple[object, ...],
    ) -> None:
        if flow.went_on_at < math.inf or not flow.ran:
            return
        piece = parts[-1]
        ends_whole = (
            deliver == self._done
            and flow.is_whole
            and flow.script.reply in STREAMED
        )
        if ends_whole or (isinstance(piece, Piece) and piece.completes):
            flow.went_on_at = self.loop.time()

    def _head(self, flow: Flow) -> None:
        if flow.receiver is not None:
            flow.receiver.head(*flow.head())

    def _body(self, flow: Flow, piece: Piece) -> None:
        if flow.receiver is None:
            return
        before = self.sent_bytes()
        at = self.loop.time()
        flow.receiver.body(piece.octets)
        if self.sent_bytes() > before:
            self.feeds.append((at, flow))

    def _done(self, flow: Flow, whole: bool) -> None:
        receiver = flow.receiver
        if receiver is None:
            return
        self._close(flow)
        flow.is_heard = True
        flow.ended_at = self.loop.time()
        if flow.is_whole and flow.script.reply is Reply.STREAM:
            self.feeds.append((flow.ended_at, flow))
        receiver.done(Finish(whole, flow.reached))
