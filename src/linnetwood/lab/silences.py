"""Simulate streams whose engines fall silent, in steps; no I/O.

Entries see the load of engines, and whether their reports are missing. Links
take no time. An engine that dies keeps its connections open.
"""

import dataclasses
import itertools
from random import Random

from linnetwood.calls.endpointstats import EndpointStats
from linnetwood.calls.retries import RetryBudget
from linnetwood.lab.silencerules import (
    CALLER_TIMEOUT_S,
    GAP_S,
    OVERDUE_S,
    Decision,
    Rule,
    Silence,
)
from linnetwood.lab.silentengines import (
    MAX_EVENTS,
    MIN_EVENTS,
    PROMPT_STEPS,
    SLOTS,
    Attempt,
    Engine,
    Entry,
    Scenario,
    Stream,
)

# An engine makes one event of each of its streams in a step.
STEP_S = 0.03
_STREAM_S = ((MIN_EVENTS + MAX_EVENTS) / 2 + PROMPT_STEPS) * STEP_S
_FIRST_EVENT_S = 1.0
_PROMPT_TOKENS = 200
_MAX_LOAD = 12
# Engines die between these shares of the span.
_DEATHS = (0.2, 0.8)
_ENGINES_PER_ENTRY = 5
_SUBSCRIBED = 16
_COMPARED = 4
_MAX_ATTEMPTS = 2
_RETRY_SHARE = 0.12
_RETRY_RESERVE = 10


@dataclasses.dataclass(slots=True)
class Outcome:
    """The streams of a span and what they cost; times in seconds."""

    streams: int = 0
    refused: int = 0
    whole: int = 0
    # Whole, without a pause that its engine's silence does not explain.
    in_time: int = 0
    cut: int = 0
    given_up: int = 0
    # Cut or given up though its engine went on before the caller's timeout.
    ended_sound: int = 0
    second_attempts: int = 0
    budget: float = 0
    tokens: int = 0
    tokens_twice: int = 0
    # Silences of streams whose connection was severed, or whose engine died.
    severed_s: list[float] = dataclasses.field(default_factory=list)
    held_s: list[float] = dataclasses.field(default_factory=list)
    # The longest pauses of whole streams that were longer than the gap.
    pauses_s: list[float] = dataclasses.field(default_factory=list)
    # How often entries began to avoid an engine, and for how long it was
    # neither silent nor dead.
    avoided: int = 0
    avoided_sound_s: float = 0


class Simulation:
    """Run entries and engines step by step."""

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        """Start without calls; a seed gives all rules the same failures."""
        self.outcome = Outcome()
        self._scenario = scenario
        self._rule = rule
        self._now = float()
        self._streams: list[Stream] = []
        self._calls = Random(f'calls {seed}')
        self._choices = Random(f'choices {seed}')
        rng = Random(f'engines {seed}')
        silent = round(scenario.silent_share * scenario.engines)
        self._engines = [
            Engine(
                Random(f'{seed} {0 if scenario.at_once else number}'),
                falls_silent=number < silent,
            )
            for number in range(scenario.engines)
        ]
        dead = round(scenario.dead_share * scenario.engines)
        for engine in rng.sample(self._engines, dead):
            engine.dies_at = scenario.span_s * rng.uniform(*_DEATHS)
        subscribed = min(_SUBSCRIBED, scenario.engines)
        self._entries = [
            Entry(
                rng.sample(self._engines, subscribed),
                RetryBudget(_RETRY_SHARE, _RETRY_RESERVE),
            )
            for _ in range(scenario.engines // _ENGINES_PER_ENTRY)
        ]

    def run(self) -> Outcome:
        """Return the outcome once all streams of the span have ended."""
        span_s = self._scenario.span_s
        rate = self._scenario.load * self._scenario.engines * SLOTS / _STREAM_S
        next_at = self._calls.expovariate(rate)
        for step in itertools.count():
            self._now = step * STEP_S
            while next_at <= min(self._now, span_s):
                self._receive()
                next_at += self._calls.expovariate(rate)
            self._step()
            if self._now > span_s and not self._streams:
                break
        reserves = len(self._entries) * _RETRY_RESERVE
        self.outcome.budget = reserves + _RETRY_SHARE * self.outcome.streams
        return self.outcome

    def _receive(self) -> None:
        events = self._calls.randint(MIN_EVENTS, MAX_EVENTS)
        severed_at = self._calls.randrange(1, events)
        if self._calls.random() >= self._scenario.severed_share:
            severed_at = events
        entry = self._calls.choice(self._entries)
        stream = Stream(entry, events, severed_at, self._now)
        engine = self._choose(stream)
        if engine is None:
            self.outcome.refused += 1
            return
        self.outcome.streams += 1
        entry.budget.earn()
        self._streams.append(stream)
        self._send(stream, engine)

    def _step(self) -> None:
        for engine in self._engines:
            engine.begin_silence(self._now)
            if not engine.is_faulty(self._now):
                self._work(engine)
        for stream in self._streams:
            if stream.is_open and self._now - stream.last_at >= GAP_S:
                self._watch(stream)
        self._streams = [one for one in self._streams if one.is_open]
        for entry in self._entries:
            self._count_avoided(entry)

    def _choose(self, stream: Stream) -> Engine | None:
        used = {attempt.engine for attempt in stream.attempts}
        found = [one for one in stream.entry.engines if one not in used]
        compared = self._choices.sample(found, min(_COMPARED, len(found)))
        best = min(compared, key=lambda one: self._rank(stream.entry, one))
        return best if best.load < _MAX_LOAD else None

    def _rank(self, entry: Entry, engine: Engine) -> tuple[bool, int]:
        is_overdue = self._report_age_s(engine) > OVERDUE_S
        stats = entry.stats.get(engine)
        is_avoided = stats is not None and stats.backoff_until > self._now
        return is_overdue or is_avoided, engine.load

    def _report_age_s(self, engine: Engine) -> float:
        return engine.report_age_s(self._now, self._scenario)

    def _send(self, stream: Stream, engine: Engine) -> None:
        severed_at = stream.events if stream.sent else stream.severed_at
        attempt = Attempt(stream, engine, stream.arrived, severed_at, self._now)
        stream.sent += 1
        stream.attempts.append(attempt)
        engine.waiting.append(attempt)

    def _work(self, engine: Engine) -> None:
        while engine.waiting and len(engine.running) < SLOTS:
            engine.running.append(engine.waiting.popleft())
        for attempt in tuple(engine.running):
            if attempt.to_read:
                self._read_prompt(attempt)
            else:
                self._make_event(attempt)

    def _read_prompt(self, attempt: Attempt) -> None:
        attempt.to_read -= 1
        if not attempt.to_read:
            tokens = _PROMPT_TOKENS + attempt.made
            self.outcome.tokens += tokens
            is_first = attempt is attempt.stream.attempts[0]
            self.outcome.tokens_twice += 0 if is_first else tokens

    def _make_event(self, attempt: Attempt) -> None:
        attempt.made += 1
        self.outcome.tokens += 1
        if attempt.made > attempt.severed_at:
            self.outcome.tokens_twice += 1
        else:
            self._arrive(attempt.stream, attempt)
        if attempt.made >= attempt.stream.events:
            attempt.engine.running.remove(attempt)

    def _arrive(self, stream: Stream, attempt: Attempt) -> None:
        """Pass on an event; cancel the other attempts."""
        self._end_pause(stream)
        for other in stream.attempts:
            if other is not attempt:
                _cancel(other)
        stream.attempts = [attempt]
        stream.arrived = attempt.made
        stream.last_at = self._now
        attempt.last_at = self._now
        attempt.begun = True
        if attempt.is_silent:
            attempt.is_silent = False
            stream.entry.stats.pop(attempt.engine, None)
        if stream.arrived >= stream.events:
            self._complete(stream)

    def _end_pause(self, stream: Stream) -> None:
        pause_s = self._now - stream.last_at
        max_s = GAP_S if stream.arrived else _FIRST_EVENT_S
        if pause_s <= max_s:
            return
        if stream.arrived:
            stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
        source = stream.attempts[0]
        if source.is_lost(self._now):
            self._count_lost(source, pause_s)
            stream.in_time = False
            return
        excused_s = source.engine.silent_s(stream.last_at, self._now)
        if pause_s - excused_s > max_s:
            stream.in_time = False

    def _complete(self, stream: Stream) -> None:
        stream.is_open = False
        self.outcome.whole += 1
        self.outcome.in_time += stream.in_time
        if stream.longest_pause_s:
            self.outcome.pauses_s.append(stream.longest_pause_s)
        stats = stream.entry.stats.get(stream.attempts[0].engine)
        if stats is not None:
            stats.record_success()

    def _watch(self, stream: Stream) -> None:
        """Let the caller give up, or the rule decide."""
        if self._now - stream.last_at >= CALLER_TIMEOUT_S:
            self.outcome.given_up += 1
            self._end(stream)
            return
        decision = self._rule.decide(self._silence(stream))
        if decision is Decision.WAIT:
            return
        for attempt in stream.attempts:
            self._avoid(stream.entry, attempt)
        if decision is Decision.SEND_BESIDE:
            self._send_second(stream)
        elif decision is Decision.SEND_INSTEAD:
            _cancel(stream.attempts[-1])
            if not self._send_second(stream):
                self.outcome.cut += 1
                self._end(stream)

    def _silence(self, stream: Stream) -> Silence:
        last = stream.attempts[-1]
        others_go_on = any(
            other.stream.entry is stream.entry
            and other.begun
            and self._now - other.last_at < GAP_S
            for other in last.engine.running
        )
        return Silence(
            self._now - last.last_at,
            last.begun,
            others_go_on,
            self._report_age_s(last.engine),
        )

    def _send_second(self, stream: Stream) -> bool:
        if stream.sent >= _MAX_ATTEMPTS:
            return False
        engine = self._choose(stream)
        if engine is None or not stream.entry.budget.spend():
            return False
        self.outcome.second_attempts += 1
        self._send(stream, engine)
        return True

    def _end(self, stream: Stream) -> None:
        stream.is_open = False
        source = stream.attempts[0]
        if source.is_lost(self._now):
            self._count_lost(source, self._now - stream.last_at)
        elif stream.arrived:
            ends_at = stream.last_at + CALLER_TIMEOUT_S - STEP_S
            self.outcome.ended_sound += source.engine.goes_on_at < ends_at
        for attempt in stream.attempts:
            _cancel(attempt)

    def _count_lost(self, attempt: Attempt, silent_s: float) -> None:
        is_dead = self._now >= attempt.engine.dies_at
        found = self.outcome.held_s if is_dead else self.outcome.severed_s
        found.append(silent_s)

    def _avoid(self, entry: Entry, attempt: Attempt) -> None:
        if not attempt.is_silent:
            attempt.is_silent = True
            stats = entry.stats.setdefault(attempt.engine, EndpointStats())
            self.outcome.avoided += stats.backoff_until <= self._now
            stats.record_unreachable(self._now)

    def _count_avoided(self, entry: Entry) -> None:
        for engine, stats in entry.stats.items():
            is_avoided = stats.backoff_until > self._now
            if is_avoided and not engine.is_faulty(self._now):
                self.outcome.avoided_sound_s += STEP_S


def _cancel(attempt: Attempt) -> None:
    """Take an attempt out of its engine, if it is still there."""
    for found in (attempt.engine.waiting, attempt.engine.running):
        if attempt in found:
            found.remove(attempt)
