"""Which version every engine should serve, and since when; no I/O or clock."""

import math
from collections.abc import Iterable

from linnetwood.gen.wire.ttypes import WantedWeights

_MILLISECONDS = 1000
# The age of a version that serves and was never named.
NOT_NAMED = -1
# Older versions than these are no longer anybody's bound.
MAX_VERSIONS_SENT = 4
# Calls stop going to an older version this long before they have to. Over a
# narrowed link some took 1.3 to 2 s to arrive: this makes late ones seldom.
SEND_MARGIN_S = 1.2
# A call that has not begun by then is taken back; so long it may take to
# reach an endpoint that it is.
START_MARGIN_S = 0.8
# Whoever learns of a version has told it everywhere by then (a greeting).
SPREAD_WITHIN_S = 1.0
# An engine finishes what it runs before it takes a version (measured).
ENGINE_SWITCH_S = 1.8


class WantedVersions:
    """Hold the named versions of each model, and the newest that serves."""

    def __init__(self, bound_s: float) -> None:
        """Allow older versions for so long after a newer one was named."""
        self.bound_s = bound_s
        self._named: dict[str, dict[int, float]] = {}
        self._guessed: set[tuple[str, int]] = set()
        self._serving: dict[str, int] = {}

    def add_named(
        self,
        model: str,
        version: int,
        since: float,
        *,
        guessed: bool = False,
    ) -> bool:
        """Take in a named version; tell whether it is the newest.

        Who comes after the naming can only guess since when it stands. What
        others saw goes before any guess, and of what several saw the earliest.
        """
        named = self._named.setdefault(model, {})
        newest = version > max(named, default=0)
        known = named.get(version)
        was_guessed = (model, version) in self._guessed
        if known is None or (was_guessed and not guessed):
            named[version] = since
            self._guessed.discard((model, version))
        elif was_guessed == guessed:
            named[version] = min(since, known)
        if known is None and guessed:
            self._guessed.add((model, version))
        return newest

    def add_serving(self, found: Iterable[tuple[str, int]]) -> None:
        """Take in the versions that engines serve, named or not."""
        for model, version in found:
            if version > self._serving.get(model, 0):
                self._serving[model] = version

    def newest(self, model: str) -> int:
        """Give the version to bring everywhere; 0 if none is known."""
        newest = max(self._named.get(model, {}), default=0)
        return max(self._serving.get(model, 0), newest)

    def next_target(
        self,
        model: str,
        serving: int,
        transfer_s: float,
        now: float,
    ) -> int:
        """Give the version to bring next to an engine that serves another.

        Where versions are named one soon after the other, calls find no engine
        from the older one's bound until it serves, and again for the newer; or,
        if the older is left out, from its bound until the newer serves. The
        older comes first where that leaves less time without an engine. All
        VMs judge by the same times, so all bring the same.
        """
        both_s = 2 * transfer_s + ENGINE_SWITCH_S - self.bound_s + SEND_MARGIN_S
        aim = self.newest(model)
        named = self._named.get(model, {})
        for version in sorted(named, reverse=True):
            if not serving < version < aim:
                continue
            apart_s = named.get(aim, now) - named[version]
            still_due = now < named[version] + self.bound_s + transfer_s
            if apart_s >= both_s / 2 and still_due:
                aim = version
        return aim

    def versions_by_model(self) -> dict[str, tuple[int, ...]]:
        """Give the versions of each model: what serves, then all named."""
        return {model: self._versions(model) for model in self.models()}

    def models(self) -> list[str]:
        """Give every model of which a version is known."""
        return sorted({*self._named, *self._serving})

    def oldest_allowed(self, model: str, now: float) -> int:
        """Give the oldest version that a call may still start on; 0 for any.

        Each named version has its own bound: a newer one extends none.
        """
        due = now - self.bound_s + SEND_MARGIN_S
        named = self._named.get(model, {})
        return max(
            (version for version, since in named.items() if since <= due),
            default=0,
        )

    def cutoffs(self, model: str) -> tuple[tuple[int, float], ...]:
        """Give each named version and from when calls start on none before."""
        named = self._named.get(model, {})
        return tuple(
            (version, since + self.bound_s - SEND_MARGIN_S)
            for version, since in named.items()
        )

    def start_deadline(self, model: str, version: int) -> float:
        """Give until when a call may begin on a version; inf for any time."""
        named = self._named.get(model, {})
        newer = [since for one, since in named.items() if one > version]
        first = min(newer, default=math.inf)
        return first + self.bound_s - START_MARGIN_S

    def cutoff(self, model: str, version: int) -> float | None:
        """Give from when calls start on this version only, if it was named."""
        since = self._named.get(model, {}).get(version)
        return None if since is None else since + self.bound_s - SEND_MARGIN_S

    def to_messages(
        self,
        target: str,
        models: Iterable[str],
        now: float,
    ) -> list[WantedWeights]:
        """Give what to tell others of a service's models."""
        rows = []
        for model in models:
            named = self._named.get(model, {})
            serving = self._serving.get(model, 0)
            if serving and serving not in named:
                rows.append(WantedWeights(target, model, serving, NOT_NAMED))
            for version, since in sorted(named.items())[-MAX_VERSIONS_SENT:]:
                age_ms = int((now - since) * _MILLISECONDS)
                guessed = (model, version) in self._guessed
                rows.append(
                    WantedWeights(target, model, version, age_ms, guessed),
                )
        return rows

    def apply_messages(
        self,
        rows: Iterable[WantedWeights],
        now: float,
        *,
        steady: bool = False,
    ) -> None:
        """Take in what another process tells.

        Who was told by entries all the while, steadily, and hears of a version
        for the first time by a guess, knows that nobody saw it named before.
        """
        for row in rows:
            if row.age_ms < 0:
                self.add_serving([(row.model, row.version)])
            else:
                since = now - row.age_ms / _MILLISECONDS
                guessed = bool(row.guessed)
                if guessed and steady and not self._knows(row):
                    guessed = False
                    since = max(since, now - SPREAD_WITHIN_S)
                self.add_named(row.model, row.version, since, guessed=guessed)

    def _versions(self, model: str) -> tuple[int, ...]:
        named = sorted(self._named.get(model, ()))
        return (self._serving.get(model, 0), *named)

    def _knows(self, row: WantedWeights) -> bool:
        return row.version in self._named.get(row.model, {})
