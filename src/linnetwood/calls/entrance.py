"""Decide at the door whether a call can be in time; refuse at once if not."""

import dataclasses
from typing import Protocol

from linnetwood.calls.accounts import believed, tell_admission
from linnetwood.calls.choice import Choice, Chooser, Requirements
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.calls.policy.firsttries import AllAlike, FirstTries, Said
from linnetwood.calls.policy.returnroom import Place, ReturnRoom, as_first
from linnetwood.calls.policy.returns import Returns
from linnetwood.calls.routebook import Service
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_MILLISECONDS = 1000
# So many slots of an engine are left to calls that will be in time.
_KEPT_FREE = 1


class Needs(Protocol):
    """Say what calls ask of endpoints."""

    def requirements(self, call: DirectCall) -> Requirements:
        """Say it for one call."""


class Entrance:
    """Admit calls that can be in time, and late ones that keep out nobody."""

    def __init__(
        self,
        chooser: Chooser,
        dispatcher: Needs,
        clock: Clock,
        returns: Returns,
        first_tries: FirstTries | None = None,
        return_room: ReturnRoom = as_first,
    ) -> None:
        """Predict by the chooser's view."""
        self._first_tries = first_tries or AllAlike()
        self._return_room = return_room
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._clock = clock
        self._returns = returns

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Give how urgent the call is, or why it is refused."""
        if call.service.engine is None:
            return Urgency.IN_TIME
        now = self._clock.now()
        requirements = self._dispatcher.requirements(call)
        choice = self._chooser.choose(requirements, (), now)
        said = Said(call.route.name, call.head.wait_s, call.route.target_s)
        first = self._first_tries.is_first(said, now)
        if choice is None:
            rate_limited_s = self._chooser.rate_limited_s(requirements, now)
            why = 'limited' if rate_limited_s else 'none'
            return self._refusal(Code.NO_ENDPOINT, call, why, rate_limited_s)
        if not (first or self._may_return(call.service, choice)):
            self._tell(call, requirements, choice, 'returned')
            return self._refusal(Code.OVERLOADED, call, 'came back')
        if choice.wait_s <= requirements.acceptable_wait_s:
            self._returns.admitted(now)
            return Urgency.IN_TIME
        late = self._room_behind(requirements)
        self._tell(call, requirements, choice, 'late' if late else 'refused')
        if late:
            return Urgency.LATE
        detail = f'predicted {round(choice.wait_s * _MILLISECONDS)} ms'
        return self._refusal(Code.OVERLOADED, call, detail)

    def _may_return(self, service: Service, choice: Choice) -> bool:
        """Tell whether a caller who comes back keeps out no first try."""
        if service.engine is None:
            return True
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        taken = sum(stats.estimate_work(self._clock.now()))
        return self._return_room(Place(taken, service.engine.slots))

    def _room_behind(self, requirements: Requirements) -> bool:
        """Tell whether a late call would take nobody's place.

        A slot must be free: late calls that fill the last ones keep out those
        that come first and would be in time.
        """
        now = self._clock.now()
        requirements = dataclasses.replace(requirements, urgent=False)
        choice = self._chooser.choose(requirements, (), now)
        engine = requirements.service.engine
        if choice is None or engine is None:
            return False
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        waiting, running = stats.estimate_work(now)
        return waiting + running < engine.slots - _KEPT_FREE

    def _tell(
        self,
        call: DirectCall,
        requirements: Requirements,
        choice: Choice,
        outcome: str,
    ) -> None:
        stats = self._chooser.stats_of(choice.endpoint.incarnation_id)
        belief = believed(stats, self._clock.now())
        tell_admission(
            call.head.call_id,
            call.route,
            requirements,
            choice,
            belief,
            outcome,
        )

    def _refusal(
        self,
        code: Code,
        call: DirectCall,
        detail: str,
        least_s: float = 0,
    ) -> Ending:
        """Refuse, and say when to come back: not before there is room."""
        now = self._clock.now()
        self._first_tries.refused(now)
        after_s = self._returns.after_s(call.until - now, now)
        after_s = max(after_s, least_s)
        return not_run(code, detail, int(after_s * _MILLISECONDS))
