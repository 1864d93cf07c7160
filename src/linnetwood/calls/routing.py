"""Choose the endpoint of a call; no I/O, clock or random source inside."""

import dataclasses
import math
from collections.abc import Callable, Collection, Mapping
from random import Random
from types import MappingProxyType
from typing import Final, Protocol

from linnetwood.fleet.members import ENDPOINT, Health
from linnetwood.fleet.placement import LABEL_SEPARATOR, version_label
from linnetwood.gen.schema.ttypes import Deployment
from linnetwood.gen.wire.ttypes import Member

_OTHER_ZONE_PENALTY = 0.25
_SUSPECT_PENALTY = 2.0
_FAILED_PENALTY = 2.0
_FAILURE_RECENT_S = 2.0
_MIN_FRESH = 2
FRESH_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could take a call, and its load as known to this entry.

    The load is calls in flight divided by slots: at 1.0 all slots are in use.
    """

    member: Member
    load: float
    fresh: bool = False


class Policy(Protocol):
    """Choose one of the candidates."""

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return one candidate; there is at least one."""


class RandomPolicy:
    """Choose at random."""

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return any candidate."""
        return rng.choice(candidates)


class RoundRobin:
    """Choose each candidate in turn."""

    def __init__(self) -> None:
        """Start at the first candidate."""
        self._position = 0

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return the next candidate in the order of VM ids."""
        self._position += 1
        ordered = sorted(candidates, key=lambda candidate: candidate.member.vm)
        return ordered[self._position % len(ordered)]


class LeastKnownLoad:
    """Choose the candidate with the least known load."""

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return a candidate with the lowest load, a random one of equals."""
        lowest = min(candidate.load for candidate in candidates)
        return rng.choice(
            [candidate for candidate in candidates if candidate.load == lowest]
        )


class Probing:
    """Choose the less loaded of 2 candidates with a load report under 1 s old.

    Each call probes the load of one random endpoint, so an entry knows a few
    fresh loads, and different entries know different ones. Probing ahead of the
    choice follows Prequal (Wydrowski and others, NSDI 2024). The least loaded
    of all fresh candidates would get every call until the next report.
    """

    def __init__(self) -> None:
        """Fall back to two choices while few loads are fresh."""
        self._fallback = TwoChoices()

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return the better of two fresh candidates."""
        fresh = [candidate for candidate in candidates if candidate.fresh]
        if len(fresh) < _MIN_FRESH:
            return self._fallback.choose(candidates, rng)
        return self._fallback.choose(fresh, rng)


class TwoChoices:
    """Choose the less loaded of 2 random candidates to avoid herding."""

    def choose(self, candidates: list[Candidate], rng: Random) -> Candidate:
        """Return the less loaded of two candidates."""
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda candidate: candidate.load)


POLICIES: Final[Mapping[str, Callable[[], Policy]]] = MappingProxyType(
    {
        'probing': Probing,
        'two_choices': TwoChoices,
        'least_known_load': LeastKnownLoad,
        'round_robin': RoundRobin,
        'random': RandomPolicy,
    },
)


@dataclasses.dataclass(slots=True)
class Load:
    """The load of an endpoint as known to this entry.

    The report is the endpoint's own count of calls when it last answered; sent
    is the number of calls that this entry has in flight there now.
    """

    reported: int = 0
    reported_at: float = -math.inf
    sent_at_report: int = 0
    sent: int = 0
    failed_at: float = -_FAILURE_RECENT_S

    def record_report(self, in_flight: int, now: float) -> None:
        """Store the endpoint's own count of calls."""
        self.reported = in_flight
        self.reported_at = now
        self.sent_at_report = self.sent

    def is_fresh(self, now: float) -> bool:
        """Return whether the report is recent enough to be used."""
        return now - self.reported_at < FRESH_S

    def failed_recently(self, now: float) -> bool:
        """Return whether an attempt there was lost recently."""
        return now - self.failed_at < _FAILURE_RECENT_S

    def estimate(self, now: float) -> int:
        """Correct the report by the calls of this entry since then."""
        if not self.is_fresh(now):
            return self.sent
        return max(self.sent, self.reported + self.sent - self.sent_at_report)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointQuery:
    """What a call requires of an endpoint; empty fields match any."""

    kind: str
    model: str = ''
    vm: str = ''
    incarnation: int = 0


class Routes:
    """Hold this entry's view of the endpoints, and choose."""

    def __init__(self, zone: str, policy: Policy, rng: Random) -> None:
        """Start without endpoints."""
        # How many entries share the endpoints, including this one.
        self.entry_count = 1
        self._zone = zone
        self._policy = policy
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._loads: dict[str, Load] = {}
        self._wanted_labels: dict[str, set[str]] = {}
        self._declared_labels: dict[str, set[str]] = {}

    def member_changed(self, member: Member) -> None:
        """Apply a newer member record of an endpoint."""
        if member.role != ENDPOINT:
            return
        if member.status == Health.DEAD:
            self._members.pop(member.vm, None)
            self._loads.pop(member.vm, None)
        else:
            self._members[member.vm] = member

    def apply_config(self, deployment: Deployment) -> None:
        """Set which versions may answer for a model."""
        self._wanted_labels = {
            intent.model: {
                version_label(intent.model, intent.version),
                version_label(intent.model, intent.previous_version),
            }
            for intent in deployment.intents
        }
        self._declared_labels = {
            model.name: {
                version_label(model.name, version.name)
                for version in model.versions
            }
            for model in deployment.models
        }

    def load(self, vm: str) -> Load:
        """Return the load of an endpoint, new if there is none."""
        return self._loads.setdefault(vm, Load())

    def knows(self, query: EndpointQuery) -> bool:
        """Return whether a model is declared or a service has an endpoint."""
        if query.model:
            return query.model in self._declared_labels
        return any(
            member.kind == query.kind for member in self._members.values()
        )

    def slots(self, target: str) -> int:
        """Return the total slots of the endpoints of a model or service."""
        return sum(
            member.slots
            for member in self._members.values()
            if target
            in {member.kind, member.serving.partition(LABEL_SEPARATOR)[0]}
            and _is_eligible(member, EndpointQuery(member.kind))
        )

    def choose(
        self,
        query: EndpointQuery,
        tried: Collection[str],
        now: float,
    ) -> Member | None:
        """Return the endpoint for a call, or None if there is none."""
        eligible = self._candidates(query, tried)
        if not eligible:
            return None
        with_room = [
            member for member in eligible if self._has_room(member, now)
        ] or eligible
        candidates = [self._candidate(member, now) for member in with_room]
        return self._policy.choose(candidates, self._rng).member

    def sample(self, query: EndpointQuery) -> Member | None:
        """Return a random endpoint to probe for its load."""
        eligible = self._candidates(query, ())
        return self._rng.choice(eligible) if eligible else None

    def _candidates(
        self, query: EndpointQuery, tried: Collection[str]
    ) -> list[Member]:
        eligible = [
            member
            for member in self._members.values()
            if member.vm not in tried and _is_eligible(member, query)
        ]
        return (
            self._serving_wanted(query.model, eligible)
            if query.model
            else eligible
        )

    def _serving_wanted(
        self, model: str, eligible: list[Member]
    ) -> list[Member]:
        wanted = self._wanted_labels.get(model, set())
        serving = [member for member in eligible if member.serving in wanted]
        if serving:
            return serving
        # Versions changed faster than they arrived. Any declared version will
        # do, since endpoints serve only complete versions.
        declared = self._declared_labels.get(model, set())
        return [member for member in eligible if member.serving in declared]

    def _has_room(self, member: Member, now: float) -> bool:
        """Return whether it is healthy and has free slots for this entry.

        Entries that each keep to their share never overfill an endpoint
        together, however late they learn its load.
        """
        load = self.load(member.vm)
        if member.status == Health.SUSPECT or load.failed_recently(now):
            return False
        return load.sent < -(-member.slots // self.entry_count)

    def _candidate(self, member: Member, now: float) -> Candidate:
        record = self.load(member.vm)
        load = record.estimate(now) / max(1, member.slots)
        if member.availability_zone != self._zone:
            load += _OTHER_ZONE_PENALTY
        if member.status == Health.SUSPECT:
            load += _SUSPECT_PENALTY
        if record.failed_recently(now):
            load += _FAILED_PENALTY
        return Candidate(member, load, record.is_fresh(now))


def _is_eligible(member: Member, query: EndpointQuery) -> bool:
    if member.status not in {Health.ALIVE, Health.SUSPECT}:
        return False
    if member.kind != query.kind:
        return False
    owner = (query.vm, query.incarnation)
    return not query.vm or (member.vm, member.incarnation) == owner
