"""Model versions that engines should serve, and since when; no I/O or clock.

A version is named when operators announce that engines should serve it. Each
named version has a bound: that many seconds after it was named, no call starts
on an older one any more.
"""

import math
from collections.abc import Iterable

from linnetwood.gen.wire.ttypes import WantedWeights

_MILLISECONDS = 1000
# The age that is sent for a version that serves and was never named.
NOT_NAMED = -1
# Sent in place of a version by a process that knows none of a model.
UNKNOWN_VERSION = 0
# Only the newest named versions are sent; the bounds of older ones no longer
# matter to any process.
MAX_VERSIONS_SENT = 4
# Calls are no longer sent to an older version this long before its bound. Over
# a slow link some calls took 1.3 to 2 s to arrive; with this margin few of them
# arrive late.
SEND_MARGIN_S = 1.2
# A call that has not started this long before the bound is cancelled. The
# cancellation may take this long to reach the endpoint.
START_MARGIN_S = 0.8
# A process that learns of a version has spread it everywhere within this time,
# the interval at which entries renew their subscriptions.
SPREAD_WITHIN_S = 1.0
# An engine finishes the calls that it runs before it loads a version.
ENGINE_SWITCH_S = 1.8


class WantedVersions:
    """Hold the named versions of each model, and the newest that serves.

    Times are in seconds of one monotonic clock.
    """

    def __init__(self, bound_s: float, contact_s: float = math.inf) -> None:
        """Allow older versions for `bound_s` after a newer one was named.

        The bound holds for a process from `contact_s` after its start.
        """
        self.bound_s = bound_s
        self._contact_s = contact_s
        self._named: dict[str, dict[int, float]] = {}
        self._guessed: set[tuple[str, int]] = set()
        self._serving: dict[str, int] = {}

    @property
    def assumed_age_s(self) -> float:
        """Return the age to assume of a version that nobody saw named.

        It leaves older versions half of the bound, but no longer than until the
        bound holds for a process that has just started.
        """
        return max(
            self.bound_s / 2, self.bound_s - SEND_MARGIN_S - self._contact_s
        )

    def add_named(
        self,
        model: str,
        version: int,
        named_at: float,
        *,
        guessed: bool = False,
    ) -> bool:
        """Add a named version; return whether it is the newest.

        A process that starts after a version was named can only guess when
        that was. A time that a process saw replaces a guess; of several seen
        or several guessed times the earliest counts.
        """
        named = self._named.setdefault(model, {})
        is_newest = version > max(named, default=0)
        known = named.get(version)
        was_guessed = (model, version) in self._guessed
        if known is None or (was_guessed and not guessed):
            named[version] = named_at
            self._guessed.discard((model, version))
        elif was_guessed == guessed:
            named[version] = min(named_at, known)
        if known is None and guessed:
            self._guessed.add((model, version))
        return is_newest

    def add_serving(self, found: Iterable[tuple[str, int]]) -> None:
        """Add pairs of model and version that serve, or served at last."""
        for model, version in found:
            if version > self._serving.get(model, 0):
                self._serving[model] = version

    def newest(self, model: str) -> int:
        """Return the version that all engines should serve; 0 if unknown."""
        newest = max(self._named.get(model, {}), default=0)
        return max(self._serving.get(model, 0), newest)

    def next_target(
        self,
        model: str,
        serving: int,
        transfer_s: float,
        now: float,
    ) -> int:
        """Return the version to load next on an engine that serves another.

        If two versions are named shortly after each other, there are two
        choices. Loading both leaves calls without an engine from the bound of
        the older until it serves, and again from the bound of the newer until
        that serves. Skipping the older leaves them without an engine from its
        bound until the newer serves. The older is loaded if this makes the
        total time without an engine shorter. All VMs decide by the same times,
        so all load the same version. A transfer takes `transfer_s` seconds.
        """
        both_s = 2 * transfer_s + ENGINE_SWITCH_S - self.bound_s + SEND_MARGIN_S
        target = self.newest(model)
        named = self._named.get(model, {})
        for version in sorted(named, reverse=True):
            if not serving < version < target:
                continue
            apart_s = named.get(target, now) - named[version]
            still_due = now < named[version] + self.bound_s + transfer_s
            if apart_s >= both_s / 2 and still_due:
                target = version
        return target

    def versions_by_model(self) -> dict[str, tuple[int, ...]]:
        """Return the versions of each model: the serving, then all named."""
        return {model: self._versions(model) for model in self.models()}

    def models(self) -> list[str]:
        """Return every model with a known version."""
        return sorted({*self._named, *self._serving})

    def oldest_allowed(self, model: str, now: float) -> int:
        """Return the oldest version that calls may be sent to; 0 for any.

        Each named version has its own bound; naming a newer one extends none.
        """
        latest_named_at = now - self.bound_s + SEND_MARGIN_S
        named = self._named.get(model, {})
        return max(
            (
                version
                for version, named_at in named.items()
                if named_at <= latest_named_at
            ),
            default=0,
        )

    def cutoffs(self, model: str) -> tuple[tuple[int, float], ...]:
        """Return each named version and when older ones get no more calls."""
        named = self._named.get(model, {})
        return tuple(
            (version, named_at + self.bound_s - SEND_MARGIN_S)
            for version, named_at in named.items()
        )

    def start_deadline(self, model: str, version: int) -> float:
        """Return until when a call may start on a version; inf if unlimited."""
        named = self._named.get(model, {})
        newer_named_at = [
            named_at for other, named_at in named.items() if other > version
        ]
        first = min(newer_named_at, default=math.inf)
        return first + self.bound_s - START_MARGIN_S

    def cutoff(self, model: str, version: int) -> float | None:
        """Return when older versions get no more calls, if it was named."""
        named_at = self._named.get(model, {}).get(version)
        return (
            None
            if named_at is None
            else named_at + self.bound_s - SEND_MARGIN_S
        )

    def to_messages(
        self,
        target: str,
        models: Iterable[str],
        now: float,
    ) -> list[WantedWeights]:
        """Return what to send others about the models of a service."""
        messages = []
        for model in models:
            named = self._named.get(model, {})
            serving = self._serving.get(model, UNKNOWN_VERSION)
            if serving not in named and (serving or not named):
                messages.append(
                    WantedWeights(target, model, serving, NOT_NAMED)
                )
            for version, named_at in sorted(named.items())[-MAX_VERSIONS_SENT:]:
                age_ms = int((now - named_at) * _MILLISECONDS)
                guessed = (model, version) in self._guessed
                messages.append(
                    WantedWeights(target, model, version, age_ms, guessed),
                )
        return messages

    def apply_messages(
        self,
        messages: Iterable[WantedWeights],
        now: float,
        *,
        steady: bool = False,
    ) -> None:
        """Apply the versions that another process sent.

        A steady process has received versions from entries without a gap. If
        the first time that it receives for a version is a guess, no process
        saw that version named long before, so a recent time is used instead.
        """
        for message in messages:
            if message.age_ms < 0:
                self.add_serving([(message.model, message.version)])
            else:
                named_at = now - message.age_ms / _MILLISECONDS
                guessed = bool(message.guessed)
                if guessed and steady and not self._knows(message):
                    guessed = False
                    named_at = max(named_at, now - SPREAD_WITHIN_S)
                self.add_named(
                    message.model, message.version, named_at, guessed=guessed
                )

    def unknown_models(
        self, messages: Iterable[WantedWeights]
    ) -> tuple[str, ...]:
        """Return the models of which neither sender nor receiver knows any."""
        return tuple(
            message.model
            for message in messages
            if message.version == UNKNOWN_VERSION
            and self.newest(message.model) == UNKNOWN_VERSION
        )

    def _versions(self, model: str) -> tuple[int, ...]:
        named = sorted(self._named.get(model, ()))
        return (self._serving.get(model, 0), *named)

    def _knows(self, message: WantedWeights) -> bool:
        return message.version in self._named.get(message.model, {})
