"""Engines and calls of deployments, by their pages; times in seconds."""

import dataclasses
from types import MappingProxyType
from typing import Final

from linnetwood.calls.engine import EngineProfile

MODEL = 'm'

LARGE = EngineProfile(
    slots=8,
    step_s=0.0139,
    step_s_per_call=0.0000348,
    step_s_per_k_context=0.0000483,
    prefill_tokens_per_s=13800,
    attention_s_per_m_pairs=0.00177,
    steps_per_pass=5,
    typical_prompt_tokens=1006,
    typical_answer_tokens=70,
    kv_tokens=317000,
    models=(MODEL,),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call: tokens, the target in seconds, and its frequency.

    Priority 0 is the highest. The values are of a call in time and a late one.
    """

    prompt: int
    answer: int
    target_s: float
    weight: float
    priority: int = 0
    in_time_value: float = 1
    late_value: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """The engines and calls of a deployment."""

    profile: EngineProfile
    kinds: tuple[Kind, ...]


SHEETS: Final = MappingProxyType(
    {
        'large': Sheet(
            LARGE,
            (
                Kind(1330, 70, 0.606, 2),
                Kind(827, 70, 0.606, 1),
                Kind(647, 70, 0.505, 1),
            ),
        ),
        'shifted': Sheet(
            dataclasses.replace(
                LARGE,
                slots=12,
                step_s=0.00887,
                step_s_per_call=0.0000388,
                step_s_per_k_context=0.0000227,
                prefill_tokens_per_s=19100,
                attention_s_per_m_pairs=0.00147,
                typical_prompt_tokens=952,
                typical_answer_tokens=98,
                kv_tokens=1180000,
            ),
            (
                Kind(1330, 110, 0.506, 79),
                Kind(827, 110, 0.406, 101),
                Kind(647, 70, 0.405, 57),
            ),
        ),
        # The deployment with three priorities. Its page doesn't give sizes and
        # shares of the calls; they are those of the sheet above.
        'priorities': Sheet(
            dataclasses.replace(
                LARGE,
                slots=12,
                step_s=0.0074,
                step_s_per_call=0.0000388,
                step_s_per_k_context=0.0000227,
                prefill_tokens_per_s=31900,
                attention_s_per_m_pairs=0.00147,
                steps_per_pass=7,
                typical_prompt_tokens=952,
                typical_answer_tokens=98,
                kv_tokens=1180000,
            ),
            (
                Kind(1330, 110, 0.406, 79, 0, 3.6, 0.36),
                Kind(827, 110, 0.405, 101, 1, 1.7, 0.42),
                Kind(647, 70, 0.805, 57, 2, 0.55, 0.2),
            ),
        ),
        'first': Sheet(
            dataclasses.replace(
                LARGE,
                slots=16,
                step_s=0.00927,
                prefill_tokens_per_s=20700,
                typical_prompt_tokens=966,
                typical_answer_tokens=92,
            ),
            (
                Kind(1330, 100, 0.506, 31),
                Kind(827, 100, 0.406, 23),
                Kind(647, 70, 0.405, 22),
            ),
        ),
    },
)
