"""Sum up the turns of an event loop that kept everything else waiting."""

import dataclasses

# A turn that takes longer delays all other calls noticeably.
SLOW_TURN_S = 0.1
# Slow turns are summed up for this time, which bounds the log.
PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlowPeriod:
    """The slow turns of a period; times in seconds.

    `processor_s` is the processor time of the process in that period. With
    little of it the process was frozen or waited for a processor; with as much
    as `slow_s` the turns were slow by their own work.
    """

    turns: int
    slow_s: float
    longest_s: float
    processor_s: float


class SlowTurns:
    """Measure turns; no I/O, times are passed in."""

    __slots__ = ('_longest_s', '_processor_s', '_slow_s', '_turns', '_until')

    def __init__(self, now: float, processor_s: float) -> None:
        """Start the first period; `processor_s` is what was used before."""
        self._turns = 0
        self._slow_s = float()
        self._longest_s = float()
        self._until = now + PERIOD_S
        self._processor_s = processor_s

    def add(self, turn_s: float) -> None:
        """Count a turn that took this long."""
        if turn_s < SLOW_TURN_S:
            return
        self._turns += 1
        self._slow_s += turn_s
        self._longest_s = max(self._longest_s, turn_s)

    def is_over(self, now: float) -> bool:
        """Return whether the period is over."""
        return now >= self._until

    def end_period(self, now: float, processor_s: float) -> SlowPeriod | None:
        """Start the next period; return this one if it had slow turns."""
        ended = SlowPeriod(
            self._turns,
            self._slow_s,
            self._longest_s,
            processor_s - self._processor_s,
        )
        self._turns = 0
        self._slow_s = float()
        self._longest_s = float()
        self._until = now + PERIOD_S
        self._processor_s = processor_s
        return ended if ended.turns else None
