"""Simulate engines that work in passes, as the product predicts them."""

import dataclasses
from collections import deque

from linnetwood.calls.choice import Choice, Chooser
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.prioritylevels import LATE_LEVEL
from linnetwood.lab.sheets import Kind

# The maximum number of prompt tokens that an engine prefills in a pass.
_CHUNK_TOKENS = 2048


class SimulatedCall:
    """One call at an engine."""

    __slots__ = (
        'decided_at',
        'begun',
        'chooser',
        'host',
        'kind',
        'left',
        'level',
        'pace',
        'predicted_s',
        'sent_at',
        'unread',
        'urgent',
    )

    def __init__(
        self,
        kind: Kind,
        sent_at: float,
        chooser: Chooser,
        choice: Choice,
        *,
        urgent: bool,
        level: int,
    ) -> None:
        self.kind = kind
        # The level at the engine.
        self.level = level if urgent else LATE_LEVEL
        self.unread = kind.prompt
        self.left = kind.answer
        self.urgent = urgent
        self.sent_at = sent_at
        self.decided_at = sent_at
        self.begun = False
        self.chooser = chooser
        self.host = choice.endpoint.endpoint_id
        self.predicted_s = choice.wait_s
        self.pace = choice.pace


class SimulatedEngine:
    """An engine: calls that wait for a slot, and calls in a slot.

    An engine works in passes: a pass prefills some prompt tokens of calls that
    wait for their first token, and runs a few decode steps for all others.
    """

    __slots__ = ('active', 'busy', 'profile', 'pace', 'waiting')

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.waiting: deque[SimulatedCall] = deque()
        self.active: list[SimulatedCall] = []
        self.busy = False
        self.pace = float(1)

    def report(self) -> tuple[int, int]:
        """Return how many calls wait for their first token, and decode."""
        decoding = sum(1 for one in self.active if not one.unread)
        unread = len(self.active) - decoding
        return len(self.waiting) + unread, decoding

    def begin_pass(self) -> tuple[float, list[SimulatedCall]]:
        """Return the seconds of the next pass, and the calls that decode."""
        while self.waiting and len(self.active) < self.profile.slots:
            self.active.append(self._next())
        budget = _CHUNK_TOKENS
        for call in self.active:
            read = min(budget, call.unread)
            call.unread -= read
            budget -= read
        decoding = [one for one in self.active if not one.unread]
        profile = self.profile
        steps_s = (
            profile.steps_per_pass * profile.decode_step_s(len(decoding))
            if decoding
            else 0
        )
        read_s = (_CHUNK_TOKENS - budget) / profile.prefill_tokens_per_s
        return (steps_s + read_s) * self.pace, decoding

    def _next(self) -> SimulatedCall:
        """Remove and return the first of the most urgent calls."""
        found = min(self.waiting, key=_level)
        self.waiting.remove(found)
        return found


def scaled_profile(profile: EngineProfile, capacity: float) -> EngineProfile:
    """Return an engine with a share of the capacity."""
    return dataclasses.replace(
        profile,
        step_s=profile.step_s / capacity,
        step_s_per_call=profile.step_s_per_call / capacity,
        step_s_per_k_context=profile.step_s_per_k_context / capacity,
        prefill_tokens_per_s=profile.prefill_tokens_per_s * capacity,
        attention_s_per_m_pairs=profile.attention_s_per_m_pairs / capacity,
    )


def _level(call: SimulatedCall) -> int:
    return call.level
