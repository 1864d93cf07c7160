"""Choose the endpoint for a call by its predicted wait plus penalties."""

import dataclasses
import enum
import math
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
from random import Random

from linnetwood.calls.candidates import Candidates, Group, pick_two
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import EndpointStats, Reporting
from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.enginepace import EnginePace, PaceDurations
from linnetwood.calls.limits import RateLimits, RateLimitTarget
from linnetwood.calls.notices import Notices
from linnetwood.calls.policy.lateness import acceptable_wait_s
from linnetwood.calls.policy.waitingmix import NO_MIX, WaitingMix
from linnetwood.calls.regionscope import ANY_REGION, RegionScope
from linnetwood.calls.routetable import Service
from linnetwood.calls.warmuplimiter import ASSUMED_COLD_S, WarmupLimiter

_OVERDUE_PENALTY_S = 1.0
_BACKOFF_PENALTY_S = 4.0
_SERVICE_CALL_S = 0.08
# The cost of traffic between zones, as waiting time; link delays are extra.
_OTHER_ZONE_COST_S = 0.015
# One-way delays: 2 to connect, 1 for the request and 1 for the answer.
_LINK_DELAYS_PER_CALL = 4
# Random spread between equal endpoints, so that entries don't herd.
_JITTER_S = 0.01
_FAILURE_PENALTY_S = 2.0
_VERSION_CHANGE_PENALTY_S = 1.5
# Statistics of an unlisted endpoint are kept until its last report is this old.
_FORGET_AFTER_S = 10.0
# An endpoint that fails now and then has a smaller penalty than this.
_MAX_HEALTHY_PENALTY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a call requires of an endpoint."""

    service: Service
    zone: str
    prompt_tokens: int = 0
    model: str = ''
    min_version: int = 0
    exact_version: int = 0
    urgent: bool = True
    # Priority level of an urgent call; 0 is the most urgent.
    level: int = 0
    region_scope: RegionScope = ANY_REGION
    # Versions, and when an endpoint with the usual link delay must serve them.
    version_deadlines: tuple[tuple[int, float], ...] = ()
    # With a predicted wait up to this, no further endpoints are compared.
    acceptable_wait_s: float = math.inf
    # Selects the endpoints to compare where there are many. It is fixed for a
    # call, so that admission and sending compare the same endpoints.
    sample_number: int = 0


class Unavailable(enum.Enum):
    """Why no endpoint may take a call."""

    UNLISTED = 'unlisted'
    REPLACED = 'replaced'
    LIMITED = 'limited'
    NO_WEIGHTS = 'no-weights'
    OLD_WEIGHTS = 'old-weights'
    OTHER = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and the predicted time to its first byte."""

    endpoint: Endpoint
    wait_s: float
    version: int = 0
    is_remote: bool = False
    # Plain services don't report and count as fresh.
    reporting: Reporting = Reporting.FRESH
    # The engine's pace as known when the wait was predicted.
    pace: float = 1


class Chooser:
    """Predict the wait at each endpoint and choose the shortest."""

    def __init__(
        self,
        directory: Directory,
        rng: Random,
        new_pace: type[EnginePace] = EnginePace,
    ) -> None:
        """Choose among the directory's endpoints."""
        self._new_pace = new_pace
        self.stats: dict[str, EndpointStats] = {}
        self.pace_durations = PaceDurations()
        self.candidates = Candidates(directory)
        # How many entries share the call rates of cold or limited endpoints.
        self.entry_count: Callable[[], int] = _single_entry
        self.notices = Notices()
        self._warmup_limiter = WarmupLimiter(rng, lambda: self.entry_count())
        self._rate_limits = RateLimits(
            self.notices, rng, lambda: self.entry_count()
        )
        self._waiting_mixes: dict[str, WaitingMix] = {}
        self._directory = directory
        self._rng = rng

    def stats_of(self, incarnation_id: str) -> EndpointStats:
        """Return the statistics of one incarnation, new if there are none."""
        found = self.stats.get(incarnation_id)
        if found is None:
            found = EndpointStats(self._new_pace(self.pace_durations))
            self.stats[incarnation_id] = found
        return found

    def choose(
        self,
        requirements: Requirements,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """Return the best endpoint not yet tried, or None.

        Of many endpoints only 2 are compared, and 2 of other zones if neither
        will be in time; all are compared if none of these is eligible and
        reporting. An endpoint whose reports have stopped is chosen only if no
        other is eligible, and one that never reported comes after those.
        """
        best: Choice | None = None
        groups = self.candidates.groups(
            requirements.service.name, requirements.zone, now
        )
        for group in groups:
            if best is None or best.reporting or group.is_sampled:
                found = self._best_in_group(requirements, group, tried, now)
                best = _better(best, found)
            if best is not None and _is_good_enough(best, requirements):
                break
        return best

    def wait_s(
        self, requirements: Requirements, endpoint: Endpoint, now: float
    ) -> float:
        """Predict the time to the first byte at an endpoint."""
        engine = requirements.service.engine
        stats = self.stats_of(endpoint.incarnation_id)
        transit_s = (
            0 if endpoint.zone == requirements.zone else _OTHER_ZONE_COST_S
        )
        if engine is None:
            queued = max(0, stats.in_flight - endpoint.slots + 1)
            utilization = stats.in_flight / max(1, endpoint.slots)
            return (queued + utilization) * _SERVICE_CALL_S + transit_s
        waiting, running = stats.estimate_work(now)
        if requirements.urgent:
            waiting *= stats.share_ahead(
                requirements.level, self._waiting_mix(requirements.service)
            )
        transit_s += _LINK_DELAYS_PER_CALL * engine.delay_s(
            requirements.zone, endpoint.zone
        )
        usual_s = engine.first_token_s(
            requirements.prompt_tokens, waiting, running
        )
        return transit_s + stats.paced_s(usual_s, engine.report_lag_s, now)

    def max_wait_s(
        self,
        service: Service,
        prompt_tokens: int,
        target_s: float,
        margin_s: float,
        now: float,
    ) -> float:
        """Return the longest predicted wait with which a call is in time.

        The margin is a rough one where engines were slow lately, or where a
        service has several levels, each with few calls to learn from.
        """
        is_rough = (
            service.levels.count > 1 or self.pace_durations.slow_recently(now)
        )
        if service.engine is None or not is_rough:
            return target_s - margin_s
        free_slot_s = _free_slot_s(service.engine, prompt_tokens)
        return acceptable_wait_s(target_s, margin_s, free_slot_s)

    def rate_limited_s(self, requirements: Requirements, now: float) -> float:
        """Return the seconds until a limited or paused endpoint may get a call.

        It is 0 if no endpoint is limited or paused.
        """
        waits = (
            self._available_at(requirements.service, endpoint, now) - now
            for endpoint in self._directory.eligible(
                requirements.service.name, now
            )
            if requirements.region_scope.allows(endpoint.region)
        )
        finite_waits = (wait_s for wait_s in waits if 0 < wait_s < math.inf)
        return min(finite_waits, default=0)

    def unavailable_reason(
        self, requirements: Requirements, rate_limited_s: float, now: float
    ) -> Unavailable:
        """Return why no endpoint may take a call, for the log.

        `rate_limited_s` is what the method of this name returned.
        """
        listed = [
            endpoint
            for endpoint in self._directory.eligible(
                requirements.service.name, now
            )
            if requirements.region_scope.allows(endpoint.region)
        ]
        versions = [
            self._version(requirements, endpoint)
            for endpoint in listed
            if not self.stats_of(endpoint.incarnation_id).is_misdirected(now)
        ]
        if not listed:
            return Unavailable.UNLISTED
        if not versions:
            return Unavailable.REPLACED
        if rate_limited_s:
            return Unavailable.LIMITED
        if requirements.model and not any(versions):
            return Unavailable.NO_WEIGHTS
        if requirements.model and max(versions) < requirements.min_version:
            return Unavailable.OLD_WEIGHTS
        return Unavailable.OTHER

    def record_sent(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> None:
        """Record that a call is sent to an endpoint."""
        self._rate_limits.record_sent(
            self._rate_limit_target(service, endpoint), now
        )
        if service.cold_per_s and self._directory.is_cold(endpoint, now):
            self._warmup_limiter.record_sent(
                endpoint.incarnation_id, service.cold_per_s, now
            )

    def record_waited(
        self, service: Service, level: int, waited_s: float, now: float
    ) -> None:
        """Record how long a call of a level waited at an engine."""
        if service.levels.count > 1:
            mix = self._waiting_mixes.setdefault(service.name, WaitingMix())
            mix.record(level, waited_s, now)

    def record_unreachable(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> None:
        """Record that an endpoint was unreachable: it may come back cold."""
        if service.cold_per_s:
            until = now + max(ASSUMED_COLD_S, service.cold_start_s)
            self._directory.mark_cold(endpoint.incarnation_id, until)

    def forget_unlisted(self, now: float) -> None:
        """Drop the statistics of endpoints that are no longer listed.

        The list drops an isolated endpoint and names it again later. Its
        statistics are kept until its last report is 10 s old, so that it
        doesn't count as a new endpoint.
        """
        listed_ids = self._directory.incarnation_ids()
        self._warmup_limiter.forget_unlisted(listed_ids)
        self._rate_limits.forget_unlisted(listed_ids)
        self.notices.forget_unlisted(listed_ids, now)
        for incarnation_id in self.stats.keys() - listed_ids:
            stats = self.stats[incarnation_id]
            if not stats.in_flight and not stats.reported_within(
                _FORGET_AFTER_S,
                now,
            ):
                self.stats.pop(incarnation_id)

    def _waiting_mix(self, service: Service) -> Mapping[int, float]:
        found = self._waiting_mixes.get(service.name)
        if found is None or service.levels.count == 1:
            return NO_MIX
        return found.weights

    def _best_in_group(
        self,
        requirements: Requirements,
        group: Group,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        eligible = list(
            self._eligible(requirements, group.endpoints, tried, now)
        )
        if group.is_sampled:
            eligible = self._pick_two(
                eligible, requirements.sample_number + len(tried), now
            )
        return self._best(requirements, eligible, now)

    def _best(
        self,
        requirements: Requirements,
        eligible: Iterable[Endpoint],
        now: float,
    ) -> Choice | None:
        best: tuple[tuple[Reporting, float], Choice] | None = None
        for endpoint in eligible:
            # A prediction without recent reports must not beat the others.
            reporting = self._reporting(requirements, endpoint, now)
            wait_s = self.wait_s(requirements, endpoint, now)
            cost_s = wait_s + self._penalty_s(endpoint, now)
            cost_s += self._rng.random() * _JITTER_S
            if best is None or (reporting, cost_s) < best[0]:
                version = self._version(requirements, endpoint)
                is_remote = endpoint.zone != requirements.zone
                pace = self.stats_of(endpoint.incarnation_id).pace(now)
                choice = Choice(
                    endpoint, wait_s, version, is_remote, reporting, pace
                )
                best = ((reporting, cost_s), choice)
        return best[1] if best else None

    def _reporting(
        self, requirements: Requirements, endpoint: Endpoint, now: float
    ) -> Reporting:
        if requirements.service.engine is None:
            return Reporting.FRESH
        return self.stats_of(endpoint.incarnation_id).reporting(now)

    def _pick_two(
        self,
        eligible: list[Endpoint],
        number: int,
        now: float,
    ) -> list[Endpoint]:
        """Pick two by the number, of the healthy ones if there are any."""
        healthy = [
            endpoint
            for endpoint in eligible
            if self._penalty_s(endpoint, now) < _MAX_HEALTHY_PENALTY_S
        ]
        return pick_two(healthy or eligible, number)

    def _eligible(
        self,
        requirements: Requirements,
        endpoints: Iterable[Endpoint],
        tried: Collection[str],
        now: float,
    ) -> Iterator[Endpoint]:
        for endpoint in endpoints:
            if endpoint.incarnation_id not in tried and self._is_eligible(
                requirements, endpoint, now
            ):
                yield endpoint

    def _is_eligible(
        self, requirements: Requirements, endpoint: Endpoint, now: float
    ) -> bool:
        if not requirements.region_scope.allows(endpoint.region):
            return False
        if self.stats_of(endpoint.incarnation_id).is_misdirected(now):
            return False
        if requirements.model and not self._serves_version(
            requirements, endpoint, now
        ):
            return False
        if self._available_at(requirements.service, endpoint, now) > now:
            return False
        return self._is_within_warmup_rate(requirements.service, endpoint, now)

    def _available_at(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> float:
        """Return when an endpoint next takes a call, by its latest notice."""
        if self.notices.is_empty:
            return -math.inf
        rate_limited_until = self._rate_limits.available_at(
            self._rate_limit_target(service, endpoint), now
        )
        return max(
            rate_limited_until,
            self.notices.available_at(endpoint.incarnation_id),
        )

    def _rate_limit_target(
        self, service: Service, endpoint: Endpoint
    ) -> RateLimitTarget:
        return RateLimitTarget(
            service, endpoint, self.stats_of(endpoint.incarnation_id)
        )

    def _is_within_warmup_rate(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> bool:
        """Return whether this entry may send a cold endpoint one more call."""
        per_s = service.cold_per_s
        if not per_s or not self._directory.is_cold(endpoint, now):
            return True
        return self._warmup_limiter.may_send(
            endpoint.incarnation_id, per_s, now
        )

    def _serves_version(
        self, requirements: Requirements, endpoint: Endpoint, now: float
    ) -> bool:
        version = self._version(requirements, endpoint)
        if version < self._min_version_on_arrival(requirements, endpoint, now):
            return False
        if requirements.exact_version and version != requirements.exact_version:
            return False
        return version >= max(1, requirements.min_version)

    def _min_version_on_arrival(
        self, requirements: Requirements, endpoint: Endpoint, now: float
    ) -> int:
        """Return the oldest version allowed when a call sent now arrives.

        Over a link that is slower than usual a call must be sent earlier by the
        extra delay. For the usual delay the requirements name the version.
        """
        extra_delay_s = self.stats_of(
            endpoint.incarnation_id
        ).extra_link_delay_s(now)
        if not extra_delay_s:
            return 0
        return max(
            (
                version
                for version, due_at in requirements.version_deadlines
                if due_at <= now + extra_delay_s
            ),
            default=0,
        )

    def _version(self, requirements: Requirements, endpoint: Endpoint) -> int:
        if not requirements.model:
            return 0
        version = endpoint.versions.get(requirements.model, 0)
        report = self.stats_of(endpoint.incarnation_id).report
        if report is not None:
            version = max(version, report.serving)
        return version

    def _penalty_s(self, endpoint: Endpoint, now: float) -> float:
        stats = self.stats_of(endpoint.incarnation_id)
        penalty_s = stats.failure_rate * _FAILURE_PENALTY_S
        penalty_s += self._directory.cold_left_s(endpoint, now)
        if stats.backoff_until > now:
            penalty_s += _BACKOFF_PENALTY_S
        if stats.is_overdue(now):
            penalty_s += _OVERDUE_PENALTY_S
        report = stats.report
        if report is not None and report.changing:
            penalty_s += _VERSION_CHANGE_PENALTY_S
        return penalty_s


def _free_slot_s(engine: EngineProfile, prompt_tokens: int) -> float:
    """Predict the seconds to the first event at an engine with a free slot.

    The engine may be in any zone, so the longest link delay counts.
    """
    transit_s = _LINK_DELAYS_PER_CALL * max(engine.delays.values(), default=0)
    wait_s = engine.first_token_s(prompt_tokens, 0, engine.slots - 1)
    return wait_s + transit_s + _OTHER_ZONE_COST_S


def _single_entry() -> int:
    return 1


def _better(first: Choice | None, second: Choice | None) -> Choice | None:
    if first is None or second is None:
        return first or second
    return min(
        first, second, key=lambda choice: (choice.reporting, choice.wait_s)
    )


def _is_good_enough(choice: Choice, requirements: Requirements) -> bool:
    return (
        not choice.reporting and choice.wait_s <= requirements.acceptable_wait_s
    )
