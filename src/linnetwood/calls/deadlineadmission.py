"""Decide at admission whether a call can be in time; refuse it if not."""

import dataclasses
from typing import Protocol

from linnetwood.calls.attemptlog import load_estimate, log_admission
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.policy.firstattempts import (
    AlwaysFirst,
    CallTraits,
    FirstAttemptDetector,
)
from linnetwood.calls.policy.prioritythresholds import (
    NO_LIMIT,
    LoadLimit,
    ServiceThresholds,
)
from linnetwood.calls.policy.retryafter import RetryAfterPolicy
from linnetwood.calls.policy.retrycapacity import (
    RetryCapacity,
    SlotUsage,
    same_as_first,
)
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_MILLISECONDS = 1000
# Slots of an engine that late calls leave to calls that will be in time.
_RESERVED_SLOTS = 1


class RequirementsSource(Protocol):
    """State what calls require of endpoints."""

    def requirements(self, call: DirectCall) -> Requirements:
        """Return the requirements of one call."""


class DeadlineAdmission:
    """Admit calls that can be in time, and late calls that displace none."""

    def __init__(
        self,
        chooser: Chooser,
        dispatcher: RequirementsSource,
        clock: Clock,
        retry_after: RetryAfterPolicy,
        first_attempts: FirstAttemptDetector | None = None,
        retry_capacity: RetryCapacity = same_as_first,
        thresholds: ServiceThresholds | None = None,
    ) -> None:
        """Predict waits by what the chooser knows about endpoints."""
        self._first_attempts = first_attempts or AlwaysFirst()
        self._retry_capacity = retry_capacity
        self._thresholds = thresholds or ServiceThresholds()
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._clock = clock
        self._retry_after = retry_after

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Return the urgency if the call is admitted, else its ending."""
        engine = call.service.engine
        if engine is None:
            return Urgency.IN_TIME
        now = self._clock.now()
        requirements = self._dispatcher.requirements(call)
        choice = self._chooser.choose(requirements, (), now)
        traits = CallTraits(
            call.route.name, call.head.wait_s, call.route.target_s
        )
        first = self._first_attempts.is_first(traits, now)
        if choice is None:
            return self._no_endpoint(call, requirements)
        if not (first or self._retry_capacity(self._usage(engine, choice))):
            self._log_decision(call, requirements, choice, 'returned')
            return self._refusal(Code.OVERLOADED, call, 'came back')
        limit = self._thresholds.of(call.service.name).limit(
            requirements.level, now
        )
        fits = choice.wait_s <= requirements.acceptable_wait_s
        if fits and limit.allows(self._usage(engine, choice)):
            self._record_decision(requirements, in_time=True)
            self._retry_after.admitted(now)
            return Urgency.IN_TIME
        late = self._has_room_for_late(requirements)
        self._record_decision(requirements, in_time=False)
        self._log_decision(
            call, requirements, choice, 'late' if late else 'refused', limit
        )
        if late:
            return Urgency.LATE
        detail = f'predicted {round(choice.wait_s * _MILLISECONDS)} ms'
        if fits:
            detail = _limit_detail(requirements.level, limit)
        return self._refusal(Code.OVERLOADED, call, detail)

    def _no_endpoint(
        self, call: DirectCall, requirements: Requirements
    ) -> Ending:
        now = self._clock.now()
        rate_limited_s = self._chooser.rate_limited_s(requirements, now)
        why = self._chooser.unavailable_reason(
            requirements, rate_limited_s, now
        )
        return self._refusal(Code.NO_ENDPOINT, call, why.value, rate_limited_s)

    def _record_decision(
        self, requirements: Requirements, *, in_time: bool
    ) -> None:
        thresholds = self._thresholds.of(requirements.service.name)
        thresholds.record_decision(
            requirements.level, self._clock.now(), in_time=in_time
        )

    def _usage(self, engine: EngineProfile, choice: Choice) -> SlotUsage:
        """Return how many calls wait and run where a call would be sent."""
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        used_slots = sum(stats.estimate_work(self._clock.now()))
        return SlotUsage(used_slots, engine.slots)

    def _has_room_for_late(self, requirements: Requirements) -> bool:
        """Return whether a late call would displace no call that is in time.

        A slot must stay free: late calls that fill the last slots would keep
        out first attempts that would be in time. While more urgent calls are
        refused, no less urgent ones are admitted as late.
        """
        now = self._clock.now()
        thresholds = self._thresholds.of(requirements.service.name)
        if not thresholds.allows_late(requirements.level, now):
            return False
        requirements = dataclasses.replace(requirements, urgent=False)
        choice = self._chooser.choose(requirements, (), now)
        engine = requirements.service.engine
        if choice is None or engine is None:
            return False
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        waiting, running = stats.estimate_work(now)
        return waiting + running < engine.slots - _RESERVED_SLOTS

    def _log_decision(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        outcome: str,
        limit: LoadLimit = NO_LIMIT,
    ) -> None:
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        estimate = load_estimate(stats, self._clock.now())
        log_admission(
            call.head.call_id,
            call.route,
            requirements,
            choice,
            estimate,
            outcome,
            limit,
        )

    def _refusal(
        self,
        code: Code,
        call: DirectCall,
        detail: str,
        min_s: float = 0,
    ) -> Ending:
        """Refuse, with a retry delay of at least `min_s` seconds."""
        now = self._clock.now()
        self._first_attempts.refused(now)
        after_s = self._retry_after.after_s(call.deadline - now, now)
        after_s = max(after_s, min_s)
        return not_run(code, detail, int(after_s * _MILLISECONDS))


def _limit_detail(level: int, limit: LoadLimit) -> str:
    return f'level {level}, limit {limit.per_slot:.2f} per slot'
