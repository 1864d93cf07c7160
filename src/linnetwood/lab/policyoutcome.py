"""The outcome of a simulation of policies."""

import dataclasses
import functools
import statistics
from collections import Counter, defaultdict
from typing import Any

from linnetwood.lab.sheets import Kind

_MEDIAN = 0.5
_TAIL = 0.9


@dataclasses.dataclass(slots=True)
class KindOutcome:
    """The outcome of the calls of one kind in a span."""

    received: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0

    def row(self, kind: Kind, span_s: float) -> dict[str, float]:
        """Return calls a second, and shares of the calls received."""
        received = max(1, self.received)
        earned = self.in_time * kind.in_time_value
        earned += self.late * kind.late_value
        return {
            'came_per_s': round(self.received / span_s, 1),
            'in_time_share': round(self.in_time / received, 3),
            'late_share': round(self.late / received, 3),
            'refused_share': round(self.refused / received, 3),
            'value_share': round(earned / received / kind.in_time_value, 3),
        }


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of the calls of a span."""

    span_s: float
    received: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0
    refused_twice: int = 0
    prediction_errors_s: list[float] = dataclasses.field(default_factory=list)
    waits_s: list[float] = dataclasses.field(default_factory=list)
    sent: Counter[tuple[str, int]] = dataclasses.field(default_factory=Counter)
    kinds: defaultdict[Kind, KindOutcome] = dataclasses.field(
        default_factory=functools.partial(defaultdict, KindOutcome)
    )

    def row(self, engines: int) -> dict[str, Any]:
        """Return calls a second, and waits in milliseconds."""
        seconds = {second for _, second in self.sent}
        mean = self.sent.total() / max(1, len(seconds)) / engines
        waits = self.waits_s or [0]
        return {
            'came_per_s': round(self.received / self.span_s),
            'in_time_per_s': round(self.in_time / self.span_s),
            'refused_share': round(self.refused / max(1, self.received), 3),
            'late_per_s': round(self.late / self.span_s),
            'lost_share': round(self.refused_twice / max(1, self.received), 3),
            'error_ms': round(
                _quantile(self.prediction_errors_s, _MEDIAN) * 1000
            ),
            'error_p90_ms': round(
                _quantile(self.prediction_errors_s, _TAIL) * 1000
            ),
            'wait_ms': round(statistics.median(waits) * 1000),
            'most_over_mean': round(max(self.sent.values()) / mean, 1),
        }


def _quantile(found: list[float], share: float) -> float:
    ranked = sorted(found) or [float()]
    return ranked[int(share * (len(ranked) - 1))]
