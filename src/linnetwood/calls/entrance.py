"""Decide at the door whether a call can be in time; refuse at once if not."""

import dataclasses
from random import Random
from typing import Protocol

from linnetwood.calls.accounts import believed, tell_admission
from linnetwood.calls.choice import Choice, Chooser, Need
from linnetwood.calls.dialect import Urgency
from linnetwood.calls.direct import DirectCall
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Code, Ending, not_run

_LEAST_RETRY_S = 0.15
# Callers wait for at most this share of the time that they have left (the
# users' pages); they come back over the last part of it.
_WAITED_SHARE = 1 / 3
_EARLIEST_SHARE = 0.6
_MILLISECONDS = 1000
# So many slots of an engine are left to calls that will be in time.
_KEPT_FREE = 1


class Needs(Protocol):
    """Say what calls ask of endpoints."""

    def need(self, call: DirectCall) -> Need:
        """Say it for one call."""


class Entrance:
    """Admit calls that can be in time, and late ones that keep out nobody."""

    def __init__(
        self,
        chooser: Chooser,
        dispatcher: Needs,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Predict by the chooser's view."""
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._clock = clock
        self._rng = rng

    def __call__(self, call: DirectCall) -> Urgency | Ending:
        """Give how urgent the call is, or why it is refused."""
        if call.service.engine is None:
            return Urgency.IN_TIME
        need = self._dispatcher.need(call)
        choice = self._chooser.choose(need, (), self._clock.now())
        if choice is None:
            return self._refusal(Code.NO_ENDPOINT, call, 'none')
        if choice.wait_s <= need.enough_s:
            return Urgency.IN_TIME
        late = self._room_behind(need)
        self._tell(call, need, choice, 'late' if late else 'refused')
        if late:
            return Urgency.LATE
        detail = f'predicted {round(choice.wait_s * _MILLISECONDS)} ms'
        return self._refusal(Code.OVERLOADED, call, detail)

    def _room_behind(self, need: Need) -> bool:
        """Tell whether a late call would take nobody's place.

        A slot must be free: late calls that fill the last ones keep out those
        that come first and would be in time.
        """
        now = self._clock.now()
        need = dataclasses.replace(need, urgent=False)
        choice = self._chooser.choose(need, (), now)
        engine = need.service.engine
        if choice is None or engine is None:
            return False
        standing = self._chooser.standing(choice.endpoint.life)
        waiting, running = standing.work(now)
        return waiting + running < engine.slots - _KEPT_FREE

    def _tell(
        self,
        call: DirectCall,
        need: Need,
        choice: Choice,
        outcome: str,
    ) -> None:
        standing = self._chooser.standing(choice.endpoint.life)
        belief = believed(standing, self._clock.now())
        tell_admission(
            call.head.call_id,
            call.route,
            need,
            choice,
            belief,
            outcome,
        )

    def _refusal(self, code: Code, call: DirectCall, detail: str) -> Ending:
        """Refuse, and say when to come back."""
        left_s = call.until - self._clock.now()
        return not_run(code, detail, back_after_ms(left_s, self._rng))


def back_after_ms(left_s: float, rng: Random) -> int:
    """Say when a caller with so much time left is to come back.

    Whoever comes back is late already, since its time counts from its first
    try; what matters then is that there is room. So it comes back as late as
    it will, and not all at once.
    """
    share = rng.uniform(_EARLIEST_SHARE, 1)
    wait_s = max(_LEAST_RETRY_S, left_s * _WAITED_SHARE * share)
    return int(wait_s * _MILLISECONDS)
