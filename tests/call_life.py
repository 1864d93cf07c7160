"""One call's life before scripted endpoints, and the law that judges its end.

A call ends as a whole answer, as a truthful refusal, or since what it depended
on broke off, its deadline passed or its caller left. As long as an endpoint
that was sent the call would go on in time, its answer is not cut.
"""

import asyncio
import dataclasses
import enum
import itertools
import math
from collections.abc import Callable, Iterator, Sequence
from random import Random

from linnetwood.calls.answerflow import AnswerFlow
from linnetwood.calls.choice import Chooser
from linnetwood.calls.crashwatch import NoCrashWatch
from linnetwood.calls.dialect import CallHead, Urgency
from linnetwood.calls.direct import DirectDispatcher, RetryLimits
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.routetable import Repeat
from linnetwood.core.metrics import NoMetrics
from linnetwood.core.outcomes import Code, Ending, Outcome
from linnetwood.core.sizes import MIB
from linnetwood.fleet.wanted import (
    SEND_MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.lab import virtual
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curlrequest import Headers
from tests.scripted_endpoints import (
    CALL_ID,
    STREAMED,
    Flow,
    Reply,
    Script,
    ScriptedDriver,
    events_from,
)
from tests.test_narrow_way import MODEL, ROUTE, SERVICE

BOUND_S = 8
TIMEOUT_S = 6.0
# libcurl counts the time that is left in whole milliseconds.
EARLY_S = 0.002
NO_RETRIES = RetryLimits(share=0, reserve=0)
RETRIES = RetryLimits(reserve=100)
CUT = 'cut though an endpoint would go on'
BEGUN_LATE = 'begun on an old version'
DROPPED = 'a whole answer was dropped'
TOLD_AS_LOST = 'late, but told as lost'
WITHDRAWN = 'withdrawn though it had begun'
SEVERAL = 'several feed the caller'
LOOKS_WHOLE = 'a truncated answer looks whole'
# Passes of the loop in which a cancelled call ends.
_PASSES = 5
_PROBE_S = 0.0625
_HEARD_LATE_S = 1.0
_FULL_BYTES = 8 * MIB
# With less time left no call is sent.
_MIN_REMAINING_S = 0.02


class Change(enum.Enum):
    """What changes around a call while it runs."""

    # The endpoint with a given number leaves the directory.
    UNLISTED = 'unlisted'
    NO_RETRIES = 'no retries'
    RETRIES = 'retries'
    SUSPECTED = 'suspected'
    BLOCKED = 'blocked'
    UNBLOCKED = 'unblocked'
    CALLER_LEFT = 'caller left'
    LISTED = 'listed'
    # Version 2 is named; the entry hears of it somewhat later.
    NAMED = 'named'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change, when it happens, and to which endpoint."""

    at: float
    change: Change
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """All that one call meets."""

    scripts: tuple[Script, ...]
    repeat: Repeat = Repeat.RESUME
    streams: bool = True
    attempts: int = 2
    limits: RetryLimits = RETRIES
    timeout_s: float = TIMEOUT_S
    # When version 2 was named; negative times are before the call.
    named_at: float = math.inf
    changes: tuple[Event, ...] = ()
    seed: int = 1
    # The last event that the caller already has.
    resume_after: int = 0
    urgency: Urgency = Urgency.IN_TIME
    # Endpoints that have no room for another body.
    full: frozenset[int] = frozenset()

    @property
    def is_plain(self) -> bool:
        """Return whether nothing but its attempts bounds the call."""
        return (
            not self.changes
            and not self.full
            and self.limits == RETRIES
            and self.named_at == math.inf
        )

    @property
    def first_named_at(self) -> float:
        """Return when version 2 was named."""
        heard = [one.at for one in self.changes if one.change is Change.NAMED]
        return min([self.named_at, *(at - _HEARD_LATE_S for at in heard)])

    def may_start_until(self, version: int) -> float:
        """Return until when a call may start on a version."""
        return math.inf if version > 1 else self.first_named_at + BOUND_S

    def sent_until(self, version: int) -> float:
        """Return until when a call may be sent to a version."""
        return self.may_start_until(version) - SEND_MARGIN_S


class Sink:
    """What the caller gets."""

    def __init__(self) -> None:
        self.flow = AnswerFlow()
        self.status = 0
        self.headers: Headers = []
        self.received = b''
        self.ended = ''
        self.faults: list[str] = []

    @property
    def version(self) -> int:
        """Return the version that its head states."""
        return int(dict(self.headers).get('X-Weight-Versions', '0'))

    def begin(self, status: int, headers: Headers) -> None:
        if self.status:
            self.faults.append('two heads')
        self.status = status
        self.headers = headers

    def send_piece(self, piece: bytes) -> None:
        if self.ended or not self.status:
            self.faults.append('a piece outside of the answer')
        self.received += piece

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        self.begin(status, headers)
        self.received = body
        self._end('whole')

    def finish(self) -> None:
        self._end('whole')

    def abort(self) -> None:
        self._end('aborted')

    def block(self) -> None:
        """Let the caller read nothing more."""
        self.flow.blocked = True

    def unblock(self) -> None:
        """Let the caller read again."""
        if self.flow.blocked:
            self.flow.blocked = False
            self.flow.on_unblocked()

    def _end(self, how: str) -> None:
        if self.ended:
            self.faults.append('two ends')
        self.ended = how


class Observer(NoCrashWatch):
    """Know which endpoints crashed, and suspect calls once told to."""

    def __init__(self, crashed: set[int]) -> None:
        self.suspects = False
        self.crashed = crashed

    def suspect(self) -> None:
        self.suspects = True

    async def survived(self, endpoint: Endpoint) -> bool:
        await asyncio.sleep(_PROBE_S)
        return endpoint.port not in self.crashed

    def may_retry(self, fingerprints: Sequence[str]) -> bool:
        return not self.suspects


class Life:
    """Run one call in a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.loop = asyncio.get_running_loop()
        self.sink = Sink()
        self.directory = Directory()
        self.chooser = Chooser(self.directory, Random(world.seed))
        self.driver = ScriptedDriver(dict(enumerate(world.scripts)))
        self.driver.sent_bytes = lambda: len(self.sink.received)
        self.wanted = WantedVersions(BOUND_S)
        if world.named_at < math.inf:
            self.wanted.add_named(MODEL, 2, world.named_at)
        for port, script in enumerate(world.scripts):
            self._list(port, script)
        self.observer = Observer(self.driver.crashed)
        self.dispatcher = DirectDispatcher(
            self.chooser,
            self.driver,
            PlatformDialect(),
            self.wanted,
            'z',
            NoMetrics(),
        )
        self.dispatcher.retry_limits = world.limits
        self.dispatcher.crash_observer = self.observer
        for port in world.full:
            self.dispatcher.held.add_in_flight(f'i-{port}', _FULL_BYTES)
        self.ending: Ending | None = None
        self.ended_at = float()
        self.left_open: list[Flow] = []
        self.caller_left = False
        self._task: asyncio.Task[Ending] | None = None

    @property
    def deadline(self) -> float:
        """Return when the call must have ended."""
        return self.world.timeout_s

    async def run(self) -> None:
        """Run the call to its end, then the endpoints to theirs."""
        task = asyncio.create_task(
            self.dispatcher.run(self._call(), self.sink, self.world.urgency)
        )
        self._task = task
        timers = [
            self.loop.call_at(one.at, self._apply, one)
            for one in self.world.changes
        ]
        await asyncio.wait([task])
        for timer in timers:
            timer.cancel()
        self.ended_at = self.loop.time()
        self.left_open = self.driver.open
        if not task.cancelled():
            self.ending = task.result()
        await self.driver.settle()

    def _list(self, port: int, script: Script) -> None:
        self._update(port, script)
        # Endpoints are tried in the order of the scripts.
        for _ in range(port * 2):
            self.chooser.stats_of(f'i-{port}').record_sent()

    def _update(self, port: int, script: Script) -> None:
        self.directory.update(
            Endpoint(
                f'i-{port}',
                SERVICE.name,
                f'h-{port}',
                port,
                'z',
                16,
                ready=True,
                versions={MODEL: script.version},
            )
        )

    def _call(self) -> DirectCall:
        world = self.world
        route = dataclasses.replace(
            ROUTE,
            repeat=world.repeat,
            streams=world.streams,
            attempts=world.attempts,
            timeout_s=world.timeout_s,
        )
        return DirectCall(
            CallHead(
                call_id=CALL_ID,
                model=MODEL,
                prompt=100,
                resume_after=str(world.resume_after or ''),
            ),
            route,
            SERVICE,
            None,
            'POST',
            '/x',
            [('X-Attempt-Id', CALL_ID)],
            b'body',
            0,
            self.deadline,
        )

    def _apply(self, one: Event) -> None:
        apply: dict[Change, Callable[[], None]] = {
            Change.UNLISTED: lambda: self.directory.discard(f'i-{one.number}'),
            Change.NO_RETRIES: lambda: self._set_limits(NO_RETRIES),
            Change.RETRIES: lambda: self._set_limits(RETRIES),
            Change.SUSPECTED: self.observer.suspect,
            Change.BLOCKED: self.sink.block,
            Change.UNBLOCKED: self.sink.unblock,
            Change.CALLER_LEFT: self._leave,
            Change.LISTED: lambda: self._update(
                one.number, self.world.scripts[one.number]
            ),
            Change.NAMED: lambda: self._name(one.at - _HEARD_LATE_S),
        }
        apply[one.change]()

    def _name(self, named_at: float) -> None:
        self.wanted.add_named(MODEL, 2, named_at)

    def _set_limits(self, limits: RetryLimits) -> None:
        self.dispatcher.retry_limits = limits
        # A later call applies the new limits to the budget of all.
        self.dispatcher._retry_budget(SERVICE.name)

    def _leave(self) -> None:
        if self._task is not None and self._task.cancel():
            self.caller_left = True
            self._check_left(_PASSES)

    def _check_left(self, passes: int) -> None:
        if passes:
            self.loop.call_soon(self._check_left, passes - 1)
        elif self.driver.open:
            self.sink.faults.append('open after the caller left')


def live(world: World) -> Life:
    """Run a call in a world to its end."""

    async def work() -> Life:
        life = Life(world)
        await life.run()
        return life

    return virtual.run(work())


class Judge:
    """Find what is wrong with the end of a life."""

    def __init__(self, life: Life) -> None:
        self.life = life
        self.world = life.world
        self.sink = life.sink
        self.flows = life.driver.flows

    def faults(self) -> Iterator[str]:
        """Yield each broken law."""
        yield from self.sink.faults
        checks: tuple[tuple[str, Callable[[], bool]], ...] = (
            ('a transfer left open', lambda: bool(self.life.left_open)),
            ('bytes left counted', self._counts_bytes),
            ('calls left counted', self._counts_calls),
            ('more endpoints than attempts', self._is_sent_too_often),
            ('ran twice', self._ran_twice),
            (BEGUN_LATE, self._begun_late),
            ('ended after its deadline', self._is_late),
            (LOOKS_WHOLE, self._looks_whole),
            ('mixed or repeated events', self._is_mixed),
            ('an untrue refusal', self._is_untrue),
            ('an answer without end', self._lacks_end),
            ('sent beyond the retry budget', self._is_beyond_budget),
            ('sent again though suspected', self._is_sent_suspected),
            ('sent to an endpoint that left', self._is_sent_to_gone),
            ('sent to an old version', self._is_sent_late),
            ('sent beside a paused one', self._is_sent_beside_paused),
            (TOLD_AS_LOST, self._is_told_as_lost),
            (SEVERAL, self._is_fed_by_several),
            (DROPPED, self._is_dropped),
            (CUT, self._is_cut),
            (WITHDRAWN, self._is_withdrawn),
            ('given up too early', self._is_given_up),
        )
        for name, applies in checks:
            if applies():
                yield name

    @property
    def outcome(self) -> Outcome | None:
        """Return how the call ended; None if its caller left."""
        ending = self.life.ending
        return None if ending is None else ending.outcome

    @property
    def whole(self) -> bytes:
        """Return the whole answer that its head promises."""
        return events_from(self.world.resume_after + 1, self.sink.version)

    @property
    def is_whole(self) -> bool:
        """Return whether the caller got a whole answer of its own."""
        sink = self.sink
        if sink.ended != 'whole' or self.outcome is not Outcome.ANSWERED:
            return False
        replies = {flow.script.reply for flow in self.flows}
        if sink.status == 404:
            return Reply.MISSING in replies and sink.received == b'missing'
        return sink.status == 200 and sink.received == self.whole

    @property
    def is_failure(self) -> bool:
        """Return whether the caller got an endpoint's own failure."""
        sink = self.sink
        replies = {flow.script.reply for flow in self.flows}
        return (
            self.outcome is Outcome.ANSWERED
            and (sink.status, sink.received) == (500, b'failed')
            and Reply.FAILED in replies
        )

    def _counts_bytes(self) -> bool:
        held = self.life.dispatcher.held
        full = {f'i-{port}': _FULL_BYTES for port in self.world.full}
        return bool(held.total) or held._by_endpoint != full

    def _counts_calls(self) -> bool:
        for port, _ in enumerate(self.world.scripts):
            stats = self.life.chooser.stats_of(f'i-{port}')
            if stats.in_flight != port * 2 or any(
                stats.waiting_by_level.values()
            ):
                return True
        return False

    def _is_sent_too_often(self) -> bool:
        reached = sum(flow.reached for flow in self.flows)
        return reached > self.world.attempts

    def _ran_twice(self) -> bool:
        ran = sum(flow.ran for flow in self.flows)
        return self.world.repeat is Repeat.NEVER and ran > 1

    def _begun_late(self) -> bool:
        return any(
            flow.began_at < min(flow.cancelled_at, flow.ended_at)
            and flow.began_at > self.world.may_start_until(flow.script.version)
            for flow in self.flows
            if self.world.repeat is not Repeat.NEVER
        )

    def _is_late(self) -> bool:
        return self.life.ended_at > self.life.deadline + 2 * _PROBE_S

    def _looks_whole(self) -> bool:
        return self.sink.ended == 'whole' and not (
            self.is_whole or self.is_failure
        )

    def _is_mixed(self) -> bool:
        if self.sink.status != 200:
            return False
        return not self.whole.startswith(self.sink.received)

    def _is_untrue(self) -> bool:
        if self.outcome is not Outcome.NOT_RUN:
            return False
        return bool(self.sink.status) or any(flow.ran for flow in self.flows)

    def _lacks_end(self) -> bool:
        if self.life.caller_left:
            return False
        if self.outcome is Outcome.ANSWERED:
            return self.sink.ended != 'whole'
        due = 'aborted' if self.sink.status else ''
        return self.sink.ended != due

    def _is_beyond_budget(self) -> bool:
        changes = {one.change for one in self.world.changes}
        if changes & {Change.RETRIES, Change.NO_RETRIES}:
            return False
        reached = sum(flow.reached for flow in self.flows)
        # Half of the reserve at first, and what the call itself earns.
        limits = self.world.limits
        left = min(limits.reserve, limits.reserve / 2 + limits.share)
        return reached - 1 > left

    def _is_sent_suspected(self) -> bool:
        since = [
            one.at
            for one in self.world.changes
            if one.change is Change.SUSPECTED
        ]
        return any(
            flow.begun_at > min(since, default=math.inf)
            for flow in self.flows[1:]
        )

    def _is_sent_to_gone(self) -> bool:
        """Return whether an endpoint got the call while it wasn't listed."""
        return any(
            self._listed_last(flow.port, flow.begun_at) is Change.UNLISTED
            for flow in self.flows
        )

    def _listed_last(self, port: int, before: float) -> Change | None:
        found = [
            (one.at, one.change)
            for one in self.world.changes
            if one.number == port
            and one.change in {Change.LISTED, Change.UNLISTED}
            and (one.at, one.change is Change.UNLISTED) <= (before, False)
        ]
        found.sort(key=lambda pair: pair[0])
        return found[-1][1] if found else None

    def _is_sent_late(self) -> bool:
        heard_at = min(
            (
                one.at
                for one in self.world.changes
                if one.change is Change.NAMED
            ),
            default=-math.inf,
        )
        return any(
            flow.begun_at > max(heard_at, self.world.sent_until(version))
            for flow in self.flows
            for version in (flow.script.version,)
        )

    def _is_fed_by_several(self) -> bool:
        """Return whether one was kept, or fed, after another had gone on."""
        feeders = [flow for _, flow in self.life.driver.feeds]
        turns = [one for one, _ in itertools.groupby(feeders, key=id)]
        if len(turns) != len(set(turns)):
            return True
        return any(
            flow is not feeder
            and flow.begun_at < at < min(flow.ended_at, flow.cancelled_at)
            for at, feeder in self.life.driver.feeds
            for flow in self.flows
        )

    def _is_sent_beside_paused(self) -> bool:
        return self.life.driver.sent_beside_paused

    def _is_told_as_lost(self) -> bool:
        """Return whether a call whose time is over ends as if it broke off."""
        ending = self.life.ending
        ended_at = self.life.ended_at
        if ending is None or ending.outcome is not Outcome.UNKNOWN:
            return False
        was_open = any(
            flow.is_timed_out or flow.cancelled_at == ended_at
            for flow in self.flows
        )
        broke_off = any(
            flow.is_heard and flow.ended_at >= self.life.deadline - EARLY_S
            for flow in self.flows
        )
        is_late = ended_at >= self.life.deadline and was_open
        return is_late and not broke_off and ending.code != Code.LATE.value

    def _is_dropped(self) -> bool:
        """Return whether an endpoint ended whole and its caller got nothing."""
        if self.life.caller_left or self.outcome is not Outcome.UNKNOWN:
            return False
        return any(
            flow.is_whole and flow.is_heard and flow.script.reply in STREAMED
            for flow in self.flows
        )

    @property
    def _is_excused(self) -> bool:
        return (
            self.is_whole
            or self.life.caller_left
            or self.life.ended_at >= self.life.deadline - EARLY_S
        )

    def _is_cut(self) -> bool:
        """Return whether an answer ended that an endpoint would go on with."""
        return any(not self._is_at_bound(flow) for flow in self._cut_flows())

    def _is_withdrawn(self) -> bool:
        """Return whether a version's bound ended what had begun to arrive."""
        return any(
            self._is_at_bound(flow) and flow.began_at < flow.cancelled_at
            for flow in self._cut_flows()
        )

    def _cut_flows(self) -> list[Flow]:
        if self._is_excused:
            return []
        return [
            flow
            for flow in self.flows
            if flow.went_on_at < self.life.deadline - EARLY_S
            and not self.life.driver.was_overtaken(flow)
        ]

    def _is_at_bound(self, flow: Flow) -> bool:
        """Return whether it was cancelled as its version's bound requires."""
        until = self.world.may_start_until(flow.script.version)
        # Its cancellation arrives later.
        withdrawn_at = until - START_MARGIN_S
        return withdrawn_at <= flow.cancelled_at < flow.started_at

    def _is_given_up(self) -> bool:
        """Return whether another attempt was due."""
        world = self.world
        remaining_s = self.life.deadline - self.life.ended_at
        is_over = self._is_excused or remaining_s < _MIN_REMAINING_S
        if is_over or not world.is_plain:
            return False
        if self.sink.status and world.repeat is not Repeat.RESUME:
            return False
        if world.repeat is Repeat.NEVER and any(
            flow.ran for flow in self.flows
        ):
            return False
        # One that was cancelled while it connected may have been reached.
        reached = sum(
            flow.reached or flow.cancelled_at < math.inf for flow in self.flows
        )
        tried = {flow.port for flow in self.flows}
        left = [
            script
            for port, script in enumerate(world.scripts)
            if port not in tried
            and (not self.sink.status or script.version == self.sink.version)
        ]
        return reached < world.attempts and bool(left)


def faults_of(world: World) -> list[str]:
    """Run a call in a world; return which laws it broke."""
    return list(Judge(live(world)).faults())
