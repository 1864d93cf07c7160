"""The endpoints that the platform lists, with no process before them."""

import dataclasses
import math
from collections.abc import Iterator, Mapping

# A list that was away may have dropped entries of endpoints that live; they
# are written again within about two seconds of its return. An endpoint that
# left meanwhile may get nothing two seconds after that was acknowledged.
HELD_AFTER_OUTAGE_S = 1.4
# An outage ends some time before this process notices it.
_OUTAGE_SEEN_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """One endpoint as the platform lists it."""

    endpoint: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    ready: bool
    cold_s: float = 0
    versions: Mapping[str, int] = dataclasses.field(default_factory=dict)


class Directory:
    """Hold the newest list, and entries that an outage may have dropped."""

    def __init__(self) -> None:
        """Know nobody."""
        # Grows whenever the list changes: what was derived of it is then old.
        self.changes = 0
        self._listed: dict[str, Listed] = {}
        self._by_service: dict[str, dict[str, Listed]] = {}
        self._by_host: dict[str, str] = {}
        self._doubted: dict[str, float] = {}
        self._outage_at = -_OUTAGE_SEEN_S

    def listed(self, one: Listed) -> None:
        """Take in a new or changed entry."""
        self.changes += 1
        known = self._listed.get(one.endpoint)
        if known is not None and known.service != one.service:
            self._by_service[known.service].pop(one.endpoint)
        self._listed[one.endpoint] = one
        self._by_service.setdefault(one.service, {})[one.endpoint] = one
        self._by_host[one.host] = one.endpoint
        self._doubted.pop(one.endpoint, None)

    def dropped(self, endpoint: str, now: float) -> None:
        """Take in that an entry is gone; keep it a while after an outage."""
        if endpoint not in self._listed:
            return
        if now - self._outage_at < _OUTAGE_SEEN_S:
            self._doubted.setdefault(endpoint, now + HELD_AFTER_OUTAGE_S)
        else:
            self._forget(endpoint)

    def replaced(self, fresh: Mapping[str, Listed], now: float) -> None:
        """Take in a whole list."""
        missing = set(self._listed) - set(fresh)
        for endpoint in missing:
            self.dropped(endpoint, now)
        for one in fresh.values():
            self.listed(one)

    def list_away(self, now: float) -> None:
        """Note that the list could not be read just now."""
        self._outage_at = now

    def expire(self, now: float) -> None:
        """Forget the doubted entries whose time is over."""
        late = [name for name, until in self._doubted.items() if until <= now]
        for endpoint in late:
            self._forget(endpoint)

    def get(self, endpoint: str) -> Listed | None:
        """Give one entry."""
        return self._listed.get(endpoint)

    def all(self) -> Iterator[Listed]:
        """Yield every entry."""
        yield from self._listed.values()

    def at_host(self, host: str) -> Listed | None:
        """Give the entry that was listed last at a host."""
        return self._listed.get(self._by_host.get(host, ''))

    def of_service(self, service: str) -> Iterator[Listed]:
        """Yield every entry of a service."""
        yield from self._by_service.get(service, {}).values()

    def takes(self, one: Listed, now: float) -> bool:
        """Tell whether an endpoint takes new work."""
        return one.ready and now < self._doubted.get(one.endpoint, math.inf)

    def ready(self, service: str, now: float) -> list[Listed]:
        """Give the endpoints of a service that take new work."""
        listed = self.of_service(service)
        return [one for one in listed if self.takes(one, now)]

    def _forget(self, endpoint: str) -> None:
        self._doubted.pop(endpoint, None)
        one = self._listed.pop(endpoint, None)
        if one is None:
            return
        self.changes += 1
        self._by_service[one.service].pop(endpoint)
        if self._by_host.get(one.host) == endpoint:
            self._by_host.pop(one.host)
