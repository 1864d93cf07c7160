"""Engines that fall silent or die, and the attempts of streams at them."""

import dataclasses
import math
from collections import deque
from random import Random

from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.calls.retries import RetryBudget

SLOTS = 8
MIN_EVENTS = 15
MAX_EVENTS = 60
PROMPT_STEPS = 4
_SILENCES_S = (0.3, 3.0)
_BETWEEN_SILENCES_S = (2.0, 6.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load, and the shares of engines and streams that fail.

    `load` is the share of all slots that calls would fill without failures.
    """

    engines: int = 20
    load: float = 0.9
    span_s: float = 30
    silent_share: float = 0.33
    dead_share: float = 0
    severed_share: float = 0.01
    # Whether all silent engines are silent at the same times.
    at_once: bool = False
    # Whether silent engines and dead engines report.
    silent_report: bool = True
    dead_report: bool = False


class Engine:
    """An engine with slots, a queue, and times at which it is silent."""

    def __init__(self, rng: Random, *, falls_silent: bool) -> None:
        """Start idle; `rng` draws when it is silent."""
        self._rng = rng
        first_s = rng.uniform(*_BETWEEN_SILENCES_S)
        self._next_silence_at = first_s if falls_silent else math.inf
        self._silent_from = float()
        # The end of its last silence.
        self.goes_on_at = float()
        self.dies_at = math.inf
        self.running: list[Attempt] = []
        self.waiting: deque[Attempt] = deque()

    @property
    def load(self) -> int:
        """Return the streams that it has."""
        return len(self.running) + len(self.waiting)

    def begin_silence(self, now: float) -> None:
        """Begin a silence that is due, and draw how long it is."""
        if now >= self._next_silence_at:
            self._silent_from = now
            self.goes_on_at = now + self._rng.uniform(*_SILENCES_S)
            between_s = self._rng.uniform(*_BETWEEN_SILENCES_S)
            self._next_silence_at = self.goes_on_at + between_s

    def is_faulty(self, now: float) -> bool:
        """Return whether it is silent or dead."""
        return now >= self.dies_at or now < self.goes_on_at

    def silent_s(self, since: float, until: float) -> float:
        """Return for how long it was silent, apart from its death."""
        begin = max(since, self._silent_from)
        return max(0, min(until, self.goes_on_at) - begin)

    def report_age_s(self, now: float, scenario: Scenario) -> float:
        """Return for how long its reports have been missing."""
        if now >= self.dies_at:
            return 0 if scenario.dead_report else now - self.dies_at
        is_silent = self.is_faulty(now) and not scenario.silent_report
        return now - self._silent_from if is_silent else 0


@dataclasses.dataclass(eq=False, slots=True)
class Entry:
    """An entry: its engines, its retry budget, and what it knows of them."""

    engines: list[Engine]
    budget: RetryBudget
    stats: dict[Engine, EndpointStats] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(eq=False, slots=True)
class Stream:
    """A stream, the events that arrived, and its attempts."""

    entry: Entry
    events: int
    # The last event that its first connection brings.
    severed_at: int
    last_at: float
    arrived: int = 0
    sent: int = 0
    is_open: bool = True
    in_time: bool = True
    longest_pause_s: float = 0
    # The one that brought the last event, or else the first; and later ones.
    attempts: list['Attempt'] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """An attempt, the last event it made, and when its last one arrived."""

    stream: Stream
    engine: Engine
    made: int
    severed_at: int
    last_at: float
    to_read: int = PROMPT_STEPS
    begun: bool = False
    is_silent: bool = False

    def is_lost(self, now: float) -> bool:
        """Return whether it can bring nothing more."""
        return self.made > self.severed_at or now >= self.engine.dies_at
