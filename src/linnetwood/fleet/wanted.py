"""Which version every engine should serve, and since when; no I/O or clock."""

import dataclasses
from collections.abc import Iterable

from linnetwood.gen.wire.ttypes import WantedWeights

_MILLISECONDS = 1000
# Calls stop going to an older version this long before they have to.
MARGIN_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """A version that was named, and when this process knows it was."""

    version: int
    since: float


class WantedVersions:
    """Hold the newest version of each model."""

    def __init__(self, bound_s: float) -> None:
        """Allow older versions for so long after a newer one was named."""
        self.bound_s = bound_s
        self._named: dict[str, Named] = {}
        self._serving: dict[str, int] = {}

    def name(self, model: str, version: int, since: float) -> bool:
        """Take in a named version; tell whether it is newer."""
        standing = self._named.get(model)
        if standing is None or version > standing.version:
            self._named[model] = Named(version, since)
            return True
        if version == standing.version and since < standing.since:
            self._named[model] = Named(version, since)
        return False

    def serving(self, found: Iterable[tuple[str, int]]) -> None:
        """Take in the versions that engines serve, named or not."""
        for model, version in found:
            if version > self._serving.get(model, 0):
                self._serving[model] = version

    def version(self, model: str) -> int:
        """Give the version to bring everywhere; 0 if none is known."""
        named = self._named.get(model)
        serving = self._serving.get(model, 0)
        return max(serving, named.version if named else 0)

    def models(self) -> list[str]:
        """Give every model of which a version is known."""
        return sorted({*self._named, *self._serving})

    def since(self, model: str) -> float | None:
        """Give when the newest version was named, if it was."""
        named = self._named.get(model)
        if named is None or named.version < self._serving.get(model, 0):
            return None
        return named.since

    def least(self, model: str, now: float) -> int:
        """Give the oldest version that a call may still start on; 0 for any."""
        named = self._named.get(model)
        if named is None or now < named.since + self.bound_s - MARGIN_S:
            return 0
        return named.version

    def told(
        self,
        target: str,
        models: Iterable[str],
        now: float,
    ) -> list[WantedWeights]:
        """Give what to tell others of a service's models; age -1: not named."""
        rows = []
        for model in models:
            version = self.version(model)
            since = self.since(model)
            age = -1 if since is None else int((now - since) * _MILLISECONDS)
            if version:
                rows.append(WantedWeights(target, model, version, age))
        return rows

    def heard(self, rows: Iterable[WantedWeights], now: float) -> None:
        """Take in what another process tells."""
        for row in rows:
            if row.age_ms < 0:
                self.serving([(row.model, row.version)])
            else:
                since = now - row.age_ms / _MILLISECONDS
                self.name(row.model, row.version, since)
