"""Choose the endpoint for a call by what it is predicted to lose there."""

import dataclasses
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from random import Random

from linnetwood.calls.candidates import Candidates, Group, two_by_lot
from linnetwood.calls.coldgate import UNTOLD_S, ColdGate
from linnetwood.calls.directory import Directory, Listed
from linnetwood.calls.limits import Place, RateLimits
from linnetwood.calls.notices import Notices
from linnetwood.calls.reach import ANYWHERE, Reach
from linnetwood.calls.routetable import Service
from linnetwood.calls.standing import Reporting, Standing

_SUSPECT_S = 1.0
_SHUNNED_S = 4.0
_PLAIN_WORK_S = 0.08
# What bytes between zones cost, as a time to wait; delays come on top.
_FAR_S = 0.015
# Two delays to connect, one to ask and one back.
_DELAYS = 4
# Equals within this are chosen among by chance, so that entries don't herd.
_JITTER_S = 0.01
_FAILING_S = 2.0
_CHANGING_S = 1.5
# So long an endpoint is remembered that the list has lost.
_KEPT_S = 10.0
# Less stands against an endpoint that failed now and then.
_SOUND_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a call asks of an endpoint."""

    service: Service
    zone: str
    prompt: int = 0
    model: str = ''
    least_version: int = 0
    exact_version: int = 0
    urgent: bool = True
    reach: Reach = ANYWHERE
    # Versions, and from when an endpoint on the usual way must serve them.
    closing: tuple[tuple[int, float], ...] = ()
    # A wait that is short enough, so that nobody else need be looked at.
    enough_s: float = math.inf
    # By which endpoints are picked where there are many: one for each call, so
    # that whoever is admitted is sent to one of those it was admitted for.
    lot: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and the time to its first byte as predicted."""

    endpoint: Listed
    wait_s: float
    version: int = 0
    far: bool = False
    # Plain services don't report: nothing is missed there.
    reporting: Reporting = Reporting.FRESH


class Chooser:
    """Predict each endpoint's wait and take the least."""

    def __init__(self, directory: Directory, rng: Random) -> None:
        """Choose among the directory's endpoints."""
        self.standings: dict[str, Standing] = {}
        self.candidates = Candidates(directory)
        # How many entries share what endpoints bear that are cold or limited.
        self.entries: Callable[[], int] = _one_entry
        self.notices = Notices()
        self._gate = ColdGate(rng, lambda: self.entries())
        self._limits = RateLimits(self.notices, rng, lambda: self.entries())
        self._directory = directory
        self._rng = rng

    def standing(self, life: str) -> Standing:
        """Give what is known of one life of an endpoint."""
        found = self.standings.get(life)
        if found is None:
            found = Standing()
            self.standings[life] = found
        return found

    def choose(
        self,
        need: Need,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """Give the best endpoint not yet tried, or None.

        Of many only two are looked at, and two elsewhere where neither will be
        in time; all where none of these is able and heard. One whose reports
        have stopped is taken only where nobody else is able, one that never
        reported after those.
        """
        best: Choice | None = None
        groups = self.candidates.groups(need.service.name, need.zone, now)
        for group in groups:
            if best is None or best.reporting or group.by_lot:
                found = self._best_of(need, group, tried, now)
                best = _sooner(best, found)
            if best is not None and _will_do(best, need):
                break
        return best

    def wait_s(self, need: Need, one: Listed, now: float) -> float:
        """Predict the time to the first byte at an endpoint."""
        engine = need.service.engine
        standing = self.standing(one.life)
        far_s = 0 if one.zone == need.zone else _FAR_S
        if engine is None:
            over = max(0, standing.in_flight - one.slots + 1)
            ahead = standing.in_flight / max(1, one.slots)
            return (over + ahead) * _PLAIN_WORK_S + far_s
        waiting, running = standing.work(now)
        if need.urgent:
            waiting *= standing.urgent_share()
        far_s += _DELAYS * engine.delay_s(need.zone, one.zone)
        return far_s + engine.first_token_s(need.prompt, waiting, running)

    def limited_s(self, need: Need, now: float) -> float:
        """Give in how long one that is at its limit, or rests, may have a call.

        It is 0 where none does either.
        """
        waits = (
            self._opens_at(need.service, one, now) - now
            for one in self._directory.ready(need.service.name, now)
            if need.reach.allows(one.region)
        )
        bounded = (wait_s for wait_s in waits if 0 < wait_s < math.inf)
        return min(bounded, default=0)

    def sent(self, service: Service, one: Listed, now: float) -> None:
        """Note that a call goes to an endpoint."""
        self._limits.sent(self._place(service, one), now)
        if service.cold_per_s and self._directory.is_cold(one, now):
            self._gate.sent(one.life, service.cold_per_s, now)

    def lost(self, service: Service, one: Listed, now: float) -> None:
        """Note that an endpoint could not be reached: it may come back cold."""
        if service.cold_per_s:
            until = now + max(UNTOLD_S, service.cold_start_s)
            self._directory.cold(one.life, until)

    def forget(self, now: float) -> None:
        """Drop what is known of endpoints that are no longer listed.

        The list loses who is out of touch for a while, and tells of it again:
        until its last report is that old, it is no newcomer.
        """
        lives = self._directory.lives()
        self._gate.keep(lives)
        self._limits.keep(lives)
        self.notices.keep(lives, now)
        for name in self.standings.keys() - lives:
            standing = self.standings[name]
            if not standing.in_flight and not standing.heard_within(
                _KEPT_S,
                now,
            ):
                self.standings.pop(name)

    def _best_of(
        self,
        need: Need,
        group: Group,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        able = list(self._able(need, group.listed, tried, now))
        if group.by_lot:
            able = self._picked(able, need.lot + len(tried), now)
        return self._best(need, able, now)

    def _best(
        self,
        need: Need,
        able: Iterable[Listed],
        now: float,
    ) -> Choice | None:
        best: tuple[tuple[Reporting, float], Choice] | None = None
        for one in able:
            # What is believed of a silent one is no reason to go past others.
            reporting = self._reporting(need, one, now)
            wait_s = self.wait_s(need, one, now)
            loss = wait_s + self._penalty(one, now)
            loss += self._rng.random() * _JITTER_S
            if best is None or (reporting, loss) < best[0]:
                version = self._version(need, one)
                far = one.zone != need.zone
                choice = Choice(one, wait_s, version, far, reporting)
                best = ((reporting, loss), choice)
        return best[1] if best else None

    def _reporting(self, need: Need, one: Listed, now: float) -> Reporting:
        if need.service.engine is None:
            return Reporting.FRESH
        return self.standing(one.life).reporting(now)

    def _picked(
        self,
        able: list[Listed],
        lot: int,
        now: float,
    ) -> list[Listed]:
        """Give two by lot, of those with nothing against them if there are."""
        sound = [one for one in able if self._penalty(one, now) < _SOUND_S]
        return two_by_lot(sound or able, lot)

    def _able(
        self,
        need: Need,
        listed: Iterable[Listed],
        tried: Collection[str],
        now: float,
    ) -> Iterator[Listed]:
        for one in listed:
            if one.life not in tried and self._may_go(need, one, now):
                yield one

    def _may_go(self, need: Need, one: Listed, now: float) -> bool:
        if not need.reach.allows(one.region):
            return False
        if need.model and not self._serves(need, one, now):
            return False
        if self._opens_at(need.service, one, now) > now:
            return False
        return self._bears(need.service, one, now)

    def _opens_at(self, service: Service, one: Listed, now: float) -> float:
        """Give from when on an endpoint takes a call, by its own word."""
        if self.notices.is_empty:
            return -math.inf
        opens_at = self._limits.opens_at(self._place(service, one), now)
        return max(opens_at, self.notices.opens_at(one.life))

    def _place(self, service: Service, one: Listed) -> Place:
        return Place(service, one, self.standing(one.life))

    def _bears(self, service: Service, one: Listed, now: float) -> bool:
        """Tell whether one more call is this entry's part, if it is cold."""
        per_s = service.cold_per_s
        if not per_s or not self._directory.is_cold(one, now):
            return True
        return self._gate.opens(one.life, per_s, now)

    def _serves(self, need: Need, one: Listed, now: float) -> bool:
        version = self._version(need, one)
        if version < self._least_there(need, one, now):
            return False
        if need.exact_version and version != need.exact_version:
            return False
        return version >= max(1, need.least_version)

    def _least_there(self, need: Need, one: Listed, now: float) -> int:
        """Give the oldest version for which a call comes there in time.

        On a slow way a call has to be sent earlier by so much. On the usual
        way the need itself says what is due.
        """
        slow_s = self.standing(one.life).slow_s(now)
        if not slow_s:
            return 0
        return max(
            (version for version, at in need.closing if at <= now + slow_s),
            default=0,
        )

    def _version(self, need: Need, one: Listed) -> int:
        if not need.model:
            return 0
        version = one.versions.get(need.model, 0)
        report = self.standing(one.life).report
        if report is not None:
            version = max(version, report.serving)
        return version

    def _penalty(self, one: Listed, now: float) -> float:
        standing = self.standing(one.life)
        penalty = standing.failing * _FAILING_S
        penalty += self._directory.cold_left_s(one, now)
        if standing.shunned_until > now:
            penalty += _SHUNNED_S
        if standing.silent(now):
            penalty += _SUSPECT_S
        report = standing.report
        if report is not None and report.changing:
            penalty += _CHANGING_S
        return penalty


def _one_entry() -> int:
    return 1


def _sooner(one: Choice | None, other: Choice | None) -> Choice | None:
    if one is None or other is None:
        return one or other
    return min(one, other, key=lambda choice: (choice.reporting, choice.wait_s))


def _will_do(choice: Choice, need: Need) -> bool:
    return not choice.reporting and choice.wait_s <= need.enough_s
