"""Run a call straight at endpoints that have no process of ours in front."""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Callable

from linnetwood.calls.accounts import (
    Sending,
    believed,
    count,
    tell,
    tell_notice,
)
from linnetwood.calls.attempt import (
    Attempt,
    AttemptEnd,
    Bounds,
    Caller,
    How,
    Relay,
)
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.crashwatch import Ends, Unwatched
from linnetwood.calls.dialect import CallHead, Dialect, Errand, Urgency
from linnetwood.calls.directory import Endpoint
from linnetwood.calls.grounds import Grounds
from linnetwood.calls.notices import Notice
from linnetwood.calls.patience import Silence
from linnetwood.calls.policy.lateness import Lateness, MeanLateness
from linnetwood.calls.retries import SHARE, RetryBudget
from linnetwood.calls.regionscope import ANY_REGION, RegionScope
from linnetwood.calls.routebook import Organisation, Repeat, Route, Service
from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.core.metrics import Metrics
from linnetwood.core.outcomes import (
    ANSWERED,
    Code,
    Ending,
    Outcome,
    not_run,
    unknown,
)
from linnetwood.fleet.members import place_hash
from linnetwood.fleet.wanted import (
    MARGIN_S,
    START_MARGIN_S,
    WantedVersions,
)
from linnetwood.wire.curldriver import CurlDriver, Headers, Request

# A handshake takes two delays of a few milliseconds; a lost packet is sent
# again after a second, so a try elsewhere comes sooner.
CONNECT_S = 0.4
# Below this nothing can be answered any more.
_LEAST_LEFT_S = 0.02
_RETRY_AFTER_MS = 200
_MILLISECONDS = 1000
# So long a call has there, on any way, before it is taken back.
_BEGIN_S = MARGIN_S - START_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class DirectCall:
    """A call that is to be run at an endpoint of a service."""

    head: CallHead
    route: Route
    service: Service
    organisation: Organisation | None
    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    until: float
    grounds: Grounds = Grounds()
    region_scope: RegionScope = ANY_REGION
    # What it shares with calls that ask the same; nothing where unknown.
    likeness: str = ''

    @property
    def repeatable(self) -> bool:
        """Tell whether it may run more than once."""
        return self.route.repeat is not Repeat.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """What this entry may send again: a share of its calls, and a reserve."""

    share: float = SHARE
    reserve: float = 4


def _tell_nobody(one: Endpoint, now: float) -> None:
    """Keep to itself what an endpoint says."""


class DirectDispatcher:
    """Run calls: choose, send, and send again where that is safe."""

    def __init__(
        self,
        chooser: Chooser,
        driver: CurlDriver,
        dialect: Dialect,
        wanted: WantedVersions,
        zone: str,
        metrics: Metrics,
        lateness: Callable[[], Lateness] = MeanLateness,
    ) -> None:
        """Use the given parts; know no retry budgets yet."""
        self.retry_bounds = RetryBounds()
        self.ends: Ends = Unwatched()
        # Told of each endpoint that has said something of itself just now.
        self.noticed: Callable[[Endpoint, float], None] = _tell_nobody
        self._budgets: dict[str, RetryBudget] = {}
        self._new_lateness = lateness
        self._lateness: dict[str, Lateness] = {}
        self._chooser = chooser
        self._driver = driver
        self._dialect = dialect
        self._wanted = wanted
        self._zone = zone
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def requirements(self, call: DirectCall) -> Requirements:
        """Say what the call asks of an endpoint."""
        model = call.head.model if call.service.engine else ''
        return Requirements(
            call.service,
            self._zone,
            call.head.prompt,
            model,
            self._wanted.least(model, self._loop.time()) if model else 0,
            version_deadlines=self._wanted.closing(model),
            acceptable_wait_s=self._enough_s(call),
            region_scope=call.region_scope,
            sample_number=place_hash(call.head.call_id),
        )

    async def run(
        self,
        call: DirectCall,
        caller: Caller,
        urgency: Urgency = Urgency.IN_TIME,
    ) -> Ending:
        """Run the call; the caller has its answer unless the ending says no."""
        relay = Relay(caller, call.head.resume_after)
        progress = _Progress()
        budget = self._budget(call.service.name)
        budget.earn()
        while True:
            now = self._loop.time()
            # One answer comes of one version, also when it is resumed.
            requirements = dataclasses.replace(
                self.requirements(call),
                exact_version=relay.version,
                urgent=urgency is Urgency.IN_TIME,
            )
            choice = self._chooser.choose(requirements, progress.tried, now)
            if choice is None:
                rate_limited_s = self._chooser.rate_limited_s(requirements, now)
                return progress.unplaced(relay, rate_limited_s)
            end = await self._attempt(
                call, requirements, choice, relay, urgency
            )
            progress.note(choice.endpoint.incarnation_id, end)
            if end.how is How.ANSWERED:
                self._deliver(relay, end)
                return ANSWERED
            if not self._again(call, progress, end, relay, budget):
                return self._give_up(relay, progress, end)
            relay.cutter.drop_half()

    def _enough_s(self, call: DirectCall) -> float:
        """Give the wait that may be predicted for a call that is in time."""
        target_s = call.route.target_s
        lateness = self._lateness_of(call.service.name)
        return target_s - lateness.margin_s(target_s, self._loop.time())

    def _lateness_of(self, service: str) -> Lateness:
        found = self._lateness.get(service)
        if found is None:
            found = self._new_lateness()
            self._lateness[service] = found
        return found

    def _budget(self, service: str) -> RetryBudget:
        bounds = self.retry_bounds
        budget = self._budgets.get(service)
        if budget is None:
            # A process that starts anew must not spend its part twice.
            budget = RetryBudget(bounds.share, bounds.reserve / 2)
            self._budgets[service] = budget
        budget.bound(bounds.share, bounds.reserve)
        return budget

    async def _attempt(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        relay: Relay,
        urgency: Urgency,
    ) -> AttemptEnd:
        now = self._loop.time()
        left_s = call.until - now
        bounds = self._bounds(call, choice, urgency)
        if left_s < _LEAST_LEFT_S or not self._may_begin(choice, bounds, now):
            return AttemptEnd(How.NOT_RUN, reached=False, detail='late')
        attempt = Attempt(
            relay,
            self._dialect,
            call.head.call_id,
            streams=call.route.streams,
            clock_now=now,
        )
        errand = self._errand(call, requirements, choice, relay, urgency)
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        sending = Sending(
            call.head.call_id,
            call.likeness,
            call.route,
            choice,
            urgency,
            believed(stats, now),
            now,
            call.grounds,
            call.head.prompt,
        )
        stats.record_sent()
        self._chooser.record_sent(call.service, choice.endpoint, now)
        waiting = _Waiting(stats, urgency)
        attempt.started = functools.partial(
            self._begun,
            call,
            sending,
            waiting,
        )
        attempt.noticed = functools.partial(self._noticed, sending)
        try:
            end = await attempt.run(
                self._driver,
                self._request(call, choice, errand),
                bounds,
            )
        finally:
            waiting.over()
            stats.record_ended()
        self._learn(call.service, sending, attempt, end)
        self._tell_end(call, choice, attempt, end)
        if end.how is How.STALLED and not attempt.first_heard:
            self._learn_wait(call, sending)
        tell(sending, attempt, end, self._loop.time())
        count(sending, attempt, end, self._metrics)
        return end

    def _errand(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        relay: Relay,
        urgency: Urgency,
    ) -> Errand:
        bound = bool(requirements.min_version or requirements.exact_version)
        return Errand(
            choice.endpoint.endpoint_id,
            call.until - self._loop.time(),
            call.organisation.name if call.organisation else '',
            choice.version if bound else 0,
            relay.cutter.last_id,
            urgency,
        )

    def _request(
        self,
        call: DirectCall,
        choice: Choice,
        errand: Errand,
    ) -> Request:
        return Request(
            choice.endpoint.host,
            choice.endpoint.port,
            call.method,
            call.target,
            self._dialect.outgoing(call.headers, errand),
            call.body,
            min(CONNECT_S, errand.left_s),
            errand.left_s,
        )

    def _bounds(
        self,
        call: DirectCall,
        choice: Choice,
        urgency: Urgency,
    ) -> Bounds:
        start_by = math.inf
        if choice.version and call.repeatable:
            start_by = self._wanted.start_by(call.head.model, choice.version)
            # What takes it back must arrive before the bound as well.
            stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
            start_by -= stats.extra_link_delay_s(self._loop.time())
        if not call.route.streams or call.route.repeat is not Repeat.RESUME:
            return Bounds(call.until, start_by, math.inf, math.inf)
        silence = Silence.of(call.route)
        first_s = silence.first_s
        if urgency is Urgency.LATE or choice.wait_s > first_s / 2:
            # It was known to wait; another endpoint would not be sooner.
            first_s = silence.late_first_s
        return Bounds(call.until, start_by, first_s, silence.next_s)

    def _may_begin(self, choice: Choice, bounds: Bounds, now: float) -> bool:
        """Tell whether it has time there before it is taken back."""
        slow_s = self._chooser.stats_of(
            choice.endpoint.incarnation_id
        ).extra_link_delay_s(now)
        left_s = bounds.start_by - now - slow_s
        return not slow_s or left_s >= _BEGIN_S

    def _begun(
        self,
        call: DirectCall,
        sending: Sending,
        waiting: '_Waiting',
    ) -> None:
        waiting.over()
        self._note_begun(sending)
        self._learn_wait(call, sending)

    def _noticed(self, sending: Sending, notice: Notice) -> None:
        """Take in what an endpoint says of itself, as soon as its head came."""
        one = sending.choice.endpoint
        now = self._loop.time()
        notices = self._chooser.notices
        if notices.record(one.incarnation_id, notice, now):
            known = notices.latest(one.incarnation_id)
            tell_notice(one, known, sending.call_id, notice.retry_after_s)
        self.noticed(one, now)

    def _note_begun(self, sending: Sending) -> None:
        stats = self._chooser.stats_of(sending.choice.endpoint.incarnation_id)
        waited_s = self._loop.time() - sending.at
        stats.record_start(sending.at, waited_s - sending.choice.wait_s)

    def _learn_wait(self, call: DirectCall, sending: Sending) -> None:
        """Compare how long an admitted call waited with what was predicted."""
        if call.service.engine is None or sending.urgency is Urgency.LATE:
            return
        now = self._loop.time()
        lateness = self._lateness_of(call.service.name)
        lateness.record(sending.choice.wait_s, now - sending.at, now)

    def _learn(
        self,
        service: Service,
        sending: Sending,
        attempt: Attempt,
        end: AttemptEnd,
    ) -> None:
        choice = sending.choice
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        if end.how is How.ANSWERED:
            stats.record_success()
            if not attempt.first_heard:
                self._note_begun(sending)
        elif not end.reached or end.how is How.STALLED:
            now = self._loop.time()
            stats.record_unreachable(now)
            self._chooser.record_unreachable(service, choice.endpoint, now)
        elif end.how in {How.FAILED, How.LOST}:
            stats.record_failure()

    def _tell_end(
        self,
        call: DirectCall,
        choice: Choice,
        attempt: Attempt,
        end: AttemptEnd,
    ) -> None:
        """Say what an attempt shows of calls that may end endpoints."""
        if end.how is How.LOST:
            heard_s = float()
            if attempt.first_heard:
                heard_s = self._loop.time() - attempt.first_heard
            self.ends.lost(call.likeness, choice.endpoint, heard_s)
        elif end.how in {How.ANSWERED, How.FAILED}:
            # An endpoint that says so has outlived the call.
            self.ends.answered(call.likeness)

    def _again(
        self,
        call: DirectCall,
        progress: '_Progress',
        end: AttemptEnd,
        relay: Relay,
        budget: RetryBudget,
    ) -> bool:
        if end.how is How.TIMED_OUT or progress.reached >= call.route.attempts:
            return False
        if call.until - self._loop.time() < _LEAST_LEFT_S:
            return False
        if end.how is not How.NOT_RUN and not call.repeatable:
            return False
        if relay.begun and call.route.repeat is not Repeat.RESUME:
            return False
        if not self.ends.may_go_again(call.likeness):
            return False
        return not end.reached or budget.spend()

    def _deliver(self, relay: Relay, end: AttemptEnd) -> None:
        if relay.begun:
            relay.caller.finish()
        else:
            relay.caller.whole(end.status, end.headers, end.body)

    def _give_up(
        self,
        relay: Relay,
        progress: '_Progress',
        end: AttemptEnd,
    ) -> Ending:
        if end.how is How.FAILED and not relay.begun:
            relay.caller.whole(end.status, end.headers, end.body)
            return ANSWERED
        code = Code.LATE if end.how is How.TIMED_OUT else Code.CONNECTION_LOST
        return progress.ending(relay, code, end.detail)


class _Waiting:
    """Count a call among those that wait at an endpoint until it begins."""

    __slots__ = ('_stats', '_urgency')

    def __init__(self, stats: EndpointStats, urgency: Urgency) -> None:
        self._stats: EndpointStats | None = stats
        self._urgency = urgency
        self._count(stats, 1)

    def over(self) -> None:
        stats = self._stats
        if stats is not None:
            self._stats = None
            self._count(stats, -1)

    def _count(self, stats: EndpointStats, change: int) -> None:
        if self._urgency is Urgency.LATE:
            stats.late_waiting += change
        else:
            stats.urgent_waiting += change


class _Progress:
    """What the attempts of one call came to."""

    __slots__ = ('may_have_run', 'reached', 'tried')

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.reached = 0
        self.may_have_run = False

    def note(self, incarnation_id: str, end: AttemptEnd) -> None:
        self.tried.add(incarnation_id)
        self.reached += end.reached
        if end.how is not How.NOT_RUN:
            self.may_have_run = True

    def unplaced(self, relay: Relay, rate_limited_s: float) -> Ending:
        """End a call that no endpoint takes, or none before some seconds."""
        ending = self.ending(relay, Code.NO_ENDPOINT)
        if ending.outcome is not Outcome.NOT_RUN or not rate_limited_s:
            return ending
        after_ms = max(
            _RETRY_AFTER_MS, math.ceil(rate_limited_s * _MILLISECONDS)
        )
        return not_run(Code.NO_ENDPOINT, 'limited', after_ms)

    def ending(self, relay: Relay, code: Code, detail: str = '') -> Ending:
        if relay.begun:
            relay.caller.abort()
            return Ending(Outcome.UNKNOWN, code.value, detail)
        if self.may_have_run:
            return unknown(code, detail)
        return not_run(code, detail, _RETRY_AFTER_MS)
