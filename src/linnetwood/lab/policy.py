"""Play calls, entries and engines in virtual time, by the modules that decide.

Engines work in passes, as the users' pages say: a pass reads some prompt tokens
of those that wait for their first token, and plays a few token steps for all
others. Entries hear of engines by reports that are as old as their pace makes
them, and choose and refuse as on a VM. Links, faults and versions are left out.
"""

import dataclasses
import heapq
import itertools
import statistics
from collections import Counter, deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from linnetwood.calls.candidates import draw
from linnetwood.calls.choice import SPREAD_S, Chooser, Need
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.engine import EngineFigures
from linnetwood.calls.forecast import Forecast
from linnetwood.calls.routebook import Service
from linnetwood.calls.standing import Report
from linnetwood.fleet.members import place_hash

_MODEL = 'm'
# Tokens that an engine reads in a pass at most.
_CHUNK_TOKENS = 2048
# Tokens in the prompt and seconds to the first token, as often as they stand.
_CALLS = ((1330, 0.606), (1330, 0.606), (827, 0.606), (647, 0.505))
_WAY_S = 0.004

# The large fleet's engines, by the figures of its pages: times in seconds.
_STEP_S = 0.0139
_PER_CALL_S = 0.0000348
_CONTEXT_S_PER_K = 0.0000483
_READ_PER_S = 13800
_PAIRS_S_PER_M = 0.00177
_USUAL_PROMPT = 1006
_USUAL_ANSWER = 70
_KV_TOKENS = 317000
FIGURES = EngineFigures(
    slots=8,
    step_s=_STEP_S,
    per_call_s=_PER_CALL_S,
    context_s_per_k=_CONTEXT_S_PER_K,
    read_per_s=_READ_PER_S,
    pairs_s_per_m=_PAIRS_S_PER_M,
    stride=5,
    usual_prompt=_USUAL_PROMPT,
    usual_answer=_USUAL_ANSWER,
    kv_tokens=_KV_TOKENS,
    models=(_MODEL,),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What is played; the rate in calls a second, the pace in seconds."""

    entries: int = 98
    engines: int = 60
    zones: int = 5
    rate: float = 250
    every_s: float = 0.25
    # Only entries of so many zones get calls; all by default.
    pressed: int = 0


class _Call:
    """One call at an engine."""

    __slots__ = (
        'begun',
        'chooser',
        'left',
        'predicted_s',
        'sent_at',
        'target_s',
        'unread',
    )

    def __init__(
        self,
        prompt: int,
        target_s: float,
        sent_at: float,
        chooser: Chooser,
        predicted_s: float,
    ) -> None:
        self.unread = prompt
        self.left = FIGURES.usual_answer
        self.target_s = target_s
        self.sent_at = sent_at
        self.begun = False
        self.chooser = chooser
        self.predicted_s = predicted_s


class _Event(NamedTuple):
    """What happens when; of the same time the first made goes first."""

    at: float
    order: int
    act: Callable[..., None]
    args: tuple[Any, ...]


class _Engine:
    """One engine: calls that wait for a slot, and those that have one."""

    __slots__ = ('active', 'busy', 'waiting')

    def __init__(self) -> None:
        self.waiting: deque[_Call] = deque()
        self.active: list[_Call] = []
        self.busy = False

    def report(self) -> tuple[int, int]:
        """Give how many wait for their first token, and how many write."""
        writing = sum(1 for one in self.active if not one.unread)
        unread = len(self.active) - writing
        return len(self.waiting) + unread, writing

    def begin_pass(self) -> tuple[float, list[_Call]]:
        """Give how long the next pass takes, and who writes in it."""
        while self.waiting and len(self.active) < FIGURES.slots:
            self.active.append(self.waiting.popleft())
        budget = _CHUNK_TOKENS
        for call in self.active:
            read = min(budget, call.unread)
            call.unread -= read
            budget -= read
        writing = [one for one in self.active if not one.unread]
        steps_s = FIGURES.stride * FIGURES.step(len(writing)) if writing else 0
        read_s = (_CHUNK_TOKENS - budget) / FIGURES.read_per_s
        return steps_s + read_s, writing


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of the calls of a span."""

    span_s: float
    came: int = 0
    refused: int = 0
    in_time: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)
    sent: Counter[tuple[str, int]] = dataclasses.field(default_factory=Counter)

    def row(self, engines: int) -> dict[str, Any]:
        """Sum it up: calls a second, waits in milliseconds."""
        seconds = {second for _, second in self.sent}
        mean = self.sent.total() / max(1, len(seconds)) / engines
        waits = self.waits_s or [0]
        return {
            'came_per_s': round(self.came / self.span_s),
            'in_time_per_s': round(self.in_time / self.span_s),
            'refused_share': round(self.refused / max(1, self.came), 3),
            'wait_ms': round(statistics.median(waits) * 1000),
            'most_over_mean': round(max(self.sent.values()) / mean, 1),
        }


class World:
    """Play arrivals, reports and passes in the order of their times."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Begin with idle engines that have just reported."""
        self._fleet = fleet
        self._rng = Random(seed)
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._now = float()
        self._pool = Service('pool', 0, FIGURES)
        self._places = {
            f'e{number}': f'z{number % fleet.zones}'
            for number in range(fleet.engines)
        }
        self._engines = {host: _Engine() for host in self._places}
        directory = Directory()
        for place in self._places.items():
            directory.listed(_listed(*place))
        self._hearers: dict[str, list[Chooser]] = {
            host: [] for host in self._places
        }
        self._forecasts: dict[Chooser, Forecast] = {}
        self._entries = [
            self._entry(f'a{number}', f'z{number % fleet.zones}', directory)
            for number in range(fleet.entries)
        ]
        self.outcome = Outcome(0)

    def play(self, warm_s: float, span_s: float) -> Outcome:
        """Count what comes in a span, after some time to fill the queues."""
        self._at(0, self._arrive)
        for host in self._engines:
            first = self._rng.random() * self._fleet.every_s
            self._at(first, self._report, host)
        self._run(warm_s)
        self.outcome = Outcome(span_s)
        self._run(warm_s + span_s)
        return self.outcome

    def _entry(
        self,
        me: str,
        zone: str,
        directory: Directory,
    ) -> tuple[Chooser, str]:
        chooser = Chooser(directory, Random(me))
        heard = draw(me, zone, self._places)
        chooser.candidates.hear(heard)
        for host in heard:
            self._hearers[host].append(chooser)
        self._forecasts[chooser] = Forecast()
        return chooser, zone

    def _run(self, until: float) -> None:
        while self._events[0].at < until:
            event = heapq.heappop(self._events)
            self._now = event.at
            event.act(*event.args)

    def _at(self, when: float, act: Callable[..., None], *args: Any) -> None:
        event = _Event(when, next(self._order), act, args)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        pause_s = self._rng.expovariate(self._fleet.rate)
        self._at(self._now + pause_s, self._arrive)
        chooser, zone = self._rng.choice(list(self._pressed()))
        prompt, target_s = self._rng.choice(_CALLS)
        late_s = self._forecasts[chooser].late_s(target_s, self._now)
        need = Need(
            self._pool,
            zone,
            prompt,
            _MODEL,
            enough_s=target_s - SPREAD_S - late_s,
            lot=place_hash(str(self._rng.random())),
        )
        self.outcome.came += 1
        choice = chooser.choose(need, (), self._now)
        if choice is None or choice.wait_s > need.enough_s:
            self.outcome.refused += 1
            return
        call = _Call(prompt, target_s, self._now, chooser, choice.wait_s)
        self._send(choice.endpoint.endpoint, call)

    def _pressed(self) -> Iterator[tuple[Chooser, str]]:
        most = self._fleet.pressed or self._fleet.zones
        for chooser, zone in self._entries:
            if int(zone[1:]) < most:
                yield chooser, zone

    def _send(self, host: str, call: _Call) -> None:
        self.outcome.sent[host, int(self._now)] += 1
        call.chooser.standing(host).sent()
        engine = self._engines[host]
        engine.waiting.append(call)
        if not engine.busy:
            self._pass(host)

    def _pass(self, host: str) -> None:
        engine = self._engines[host]
        took_s, writing = engine.begin_pass()
        engine.busy = bool(engine.active)
        if engine.busy:
            self._at(self._now + took_s, self._passed, host, writing)

    def _passed(self, host: str, writing: list[_Call]) -> None:
        for call in writing:
            if not call.begun:
                self._begin(call)
            call.left -= FIGURES.stride
            if call.left <= 0:
                self._engines[host].active.remove(call)
                call.chooser.standing(host).ended()
        self._pass(host)

    def _begin(self, call: _Call) -> None:
        call.begun = True
        wait_s = self._now - call.sent_at
        self.outcome.waits_s.append(wait_s)
        self.outcome.in_time += wait_s <= call.target_s
        forecast = self._forecasts[call.chooser]
        forecast.seen(call.predicted_s, wait_s, self._now)

    def _report(self, host: str) -> None:
        told = self._engines[host].report()
        self._at(self._now + _WAY_S, self._heard, host, told)
        self._at(self._now + self._fleet.every_s, self._report, host)

    def _heard(self, host: str, told: tuple[int, int]) -> None:
        report = Report(
            *told,
            1,
            changing=False,
            heard_at=self._now,
            every_s=self._fleet.every_s,
        )
        for chooser in self._hearers[host]:
            chooser.standing(host).heard(report)


def _listed(host: str, zone: str) -> Listed:
    return Listed(
        host,
        'pool',
        host,
        1,
        zone,
        FIGURES.slots,
        ready=True,
        versions={_MODEL: 1},
    )
