"""Predict an engine's time to first token; no I/O or clock.

An engine works in passes: a pass prefills some prompt tokens and runs a few
decode steps for every call in the batch. A call starts when a slot of the batch
is free, and its prompt is prefilled after those of the calls that waited
before it.
"""

import dataclasses
from collections.abc import Mapping

_MILLION = 1000000
_THOUSAND = 1000
# A call waits for the current pass, is prefilled in the next one, and its first
# event is sent after the decode steps of that pass.
_PASSES_TO_FIRST_TOKEN = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the operators configured of an engine; times in seconds."""

    slots: int
    step_s: float
    step_s_per_call: float
    step_s_per_k_context: float
    prefill_tokens_per_s: float
    attention_s_per_m_pairs: float
    steps_per_pass: int
    typical_prompt_tokens: int
    typical_answer_tokens: int
    kv_tokens: int
    models: tuple[str, ...] = ()
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    report_lag_s: float = 0
    delays: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict,
    )

    def delay_s(self, from_zone: str, to_zone: str) -> float:
        """Return the one-way delay between two availability zones."""
        if from_zone == to_zone:
            return 0
        delay_s = self.delays.get((from_zone, to_zone))
        if delay_s is None:
            delay_s = self.delays.get((to_zone, from_zone), 0)
        return delay_s

    def prefill_s(self, prompt_tokens: int) -> float:
        """Return the time to prefill a prompt alone."""
        token_pairs = prompt_tokens * prompt_tokens / 2
        return (
            prompt_tokens / self.prefill_tokens_per_s
            + token_pairs / _MILLION * self.attention_s_per_m_pairs
        )

    def decode_step_s(self, running: int) -> float:
        """Return the time of one decode step with this many calls running."""
        context_tokens = running * (
            self.typical_prompt_tokens + self.typical_answer_tokens / 2
        )
        return (
            self.step_s
            + running * self.step_s_per_call
            + context_tokens / _THOUSAND * self.step_s_per_k_context
        )

    def slot_interval_s(self) -> float:
        """Return the time between two slots becoming free in a full engine."""
        slots = self.slots
        decode_s = (
            self.typical_answer_tokens * self.decode_step_s(slots) / slots
        )
        return decode_s + self.prefill_s(self.typical_prompt_tokens)

    def first_token_s(
        self, prompt_tokens: int, waiting: float, running: int
    ) -> float:
        """Predict the time to first token of a call that arrives now."""
        free_slots = max(0, self.slots - running)
        prefilled_first = min(waiting, free_slots)
        slots_awaited = (
            max(0, waiting - free_slots + 1) if waiting >= free_slots else 0
        )
        pass_s = self.steps_per_pass * self.decode_step_s(
            min(running, self.slots)
        )
        pass_s *= _PASSES_TO_FIRST_TOKEN
        prefill_s = self.prefill_s(
            prompt_tokens
        ) + prefilled_first * self.prefill_s(self.typical_prompt_tokens)
        return pass_s + prefill_s + slots_awaited * self.slot_interval_s()
