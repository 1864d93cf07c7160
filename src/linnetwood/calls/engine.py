"""Predict how long an engine takes to its first token; no I/O or clock.

An engine works in passes: a pass reads some prompt tokens and plays a few
token steps for every call that writes. A call begins when one of the slots of
the batch is free, and is read behind the calls that wait before it.
"""

import dataclasses
from collections.abc import Mapping

_MILLION = 1000000
_THOUSAND = 1000
# A call waits for the pass under way, is read in the next, and its first event
# goes out when that has played its steps.
_PASSES_TO_FIRST = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """What the operators state of an engine; times in seconds."""

    slots: int
    step_s: float
    per_call_s: float
    context_s_per_k: float
    read_per_s: float
    pairs_s_per_m: float
    stride: int
    usual_prompt: int
    usual_answer: int
    kv_tokens: int
    models: tuple[str, ...] = ()
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    report_lag_s: float = 0
    delays: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict,
    )

    def delay_s(self, here: str, there: str) -> float:
        """Give the one-way delay between two availability zones."""
        if here == there:
            return 0
        found = self.delays.get((here, there))
        if found is None:
            found = self.delays.get((there, here), 0)
        return found

    def read_s(self, prompt: int) -> float:
        """Give the time that reading a prompt takes by itself."""
        pairs = prompt * prompt / 2
        return prompt / self.read_per_s + pairs / _MILLION * self.pairs_s_per_m

    def step(self, running: int) -> float:
        """Give the time of one token step with so many calls writing."""
        context = running * (self.usual_prompt + self.usual_answer / 2)
        return (
            self.step_s
            + running * self.per_call_s
            + context / _THOUSAND * self.context_s_per_k
        )

    def slot_s(self) -> float:
        """Give the time from one slot's falling free to the next, full up."""
        full = self.slots
        steps = self.usual_answer * self.step(full) / full
        return steps + self.read_s(self.usual_prompt)

    def first_token_s(self, prompt: int, waiting: float, running: int) -> float:
        """Predict the time to the first token of a call that comes now."""
        free = max(0, self.slots - running)
        readers = min(waiting, free)
        behind = max(0, waiting - free + 1) if waiting >= free else 0
        pass_s = self.stride * self.step(min(running, self.slots))
        pass_s *= _PASSES_TO_FIRST
        reading = self.read_s(prompt) + readers * self.read_s(self.usual_prompt)
        return pass_s + reading + behind * self.slot_s()
