"""Endpoints as the platform lists them; entries call them directly."""

import dataclasses
import math
import zlib
from collections.abc import Iterator, Mapping

from linnetwood.calls.warmuplimiter import ASSUMED_COLD_S
from linnetwood.core.bounded import keep_newest

# A list that was unreachable may have dropped records of running endpoints;
# they are written again within about 2 s of its return. An endpoint that left
# meanwhile must get no calls from 2 s after its leaving was acknowledged.
KEPT_AFTER_OUTAGE_S = 1.4
# Removals within this time after a failed read are held back, since an outage
# may end some time before this process notices it.
_OUTAGE_GRACE_S = 3.0
# An endpoint that was removed gets no calls for this time once a restored list
# names it again. If it lives, its record is written again before; if it has
# ended, its record lapses after three missing writes, 1.2 s apart.
UNCONFIRMED_S = 4.0
# Covers the ids of a fleet of 600 endpoints over days of restarts.
_MAX_KEPT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the platform lists it; times in seconds."""

    endpoint_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    ready: bool
    cold_s: float = 0
    versions: Mapping[str, int] = dataclasses.field(default_factory=dict)
    # Unix time of its start in milliseconds; 0 if unknown.
    born: int = 0
    region: str = ''

    @property
    def incarnation_id(self) -> str:
        """Identify this start of the endpoint, which may restart under its id.

        What an entry learns of an endpoint is stored under this identifier.
        """
        return (
            f'{self.endpoint_id}@{self.born}' if self.born else self.endpoint_id
        )

    @property
    def incarnation_mark(self) -> int:
        """Return a CRC-32 of the incarnation id, short enough for datagrams."""
        return zlib.crc32(self.incarnation_id.encode())


class Directory:
    """Hold the newest list, and records that an outage may have dropped."""

    def __init__(self) -> None:
        """Start with an empty list."""
        # Grows with each change of the list, so that caches can be invalidated.
        self.change_count = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._by_host: dict[str, str] = {}
        self._removal_due_at: dict[str, float] = {}
        # Zones whose endpoints get no calls, and when the evacuation of others
        # ended.
        self.evacuated: frozenset[str] = frozenset()
        self._evacuation_ended_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self._outage_at = -_OUTAGE_GRACE_S
        # Start of the newest incarnation by endpoint id. Removed endpoints are
        # included, since a record of an older incarnation may still arrive.
        self._latest_born: dict[str, int] = {}
        # Incarnations that were listed as leaving. Leaving is final, but a
        # store restored from a copy may list them as ready again.
        self._leaving: dict[str, None] = {}
        # Incarnations that were removed and not listed since.
        self._removed: dict[str, None] = {}
        self._unconfirmed_until: dict[str, float] = {}

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Set the zones whose endpoints get no calls from now on."""
        if zones == self.evacuated:
            return
        for zone in self.evacuated - zones:
            self._evacuation_ended_at[zone] = now
        self.evacuated = zones
        self.change_count += 1

    def mark_cold(self, incarnation_id: str, until: float) -> None:
        """Record until when an incarnation is cold, as far as is known."""
        self._cold_until[incarnation_id] = until

    def cold_left_s(self, endpoint: Endpoint, now: float) -> float:
        """Return how long an endpoint is still cold, as far as is known."""
        return max(0, self._cold_until.get(endpoint.incarnation_id, now) - now)

    def is_cold(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint is known or assumed to be cold."""
        back_at = self._evacuation_ended_at.get(endpoint.zone, -math.inf)
        until = self._cold_until.get(endpoint.incarnation_id, -math.inf)
        return now < max(until, back_at + ASSUMED_COLD_S)

    def update(self, endpoint: Endpoint) -> None:
        """Add or replace a record that was written just now.

        One of an older incarnation is ignored.
        """
        self._unconfirmed_until.pop(endpoint.endpoint_id, None)
        self._add(endpoint)

    def mark_superseded(self, endpoint_id: str) -> None:
        """Stop calls to an endpoint whose address has a later incarnation.

        Until the list names the endpoint again, neither the identity of the
        process at the address nor the versions that it holds are known.
        """
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.ready:
            self._put(dataclasses.replace(known, ready=False))

    def discard(self, endpoint_id: str) -> None:
        """Remove an endpoint whose record is malformed."""
        self._remove(endpoint_id)

    def mark_removed(self, endpoint_id: str, now: float) -> None:
        """Remove an endpoint; shortly after an outage, keep it for a time."""
        if endpoint_id not in self._endpoints:
            return
        if now - self._outage_at < _OUTAGE_GRACE_S:
            self._removal_due_at.setdefault(
                endpoint_id, now + KEPT_AFTER_OUTAGE_S
            )
        else:
            self._remove(endpoint_id)

    def replace_all(
        self,
        listed: Mapping[str, Endpoint],
        now: float,
        *,
        is_restored: bool = False,
    ) -> None:
        """Replace the whole list.

        A list of a store that was restored from a copy may lack endpoints that
        run, and name some that have ended.
        """
        if is_restored:
            self.note_outage(now)
        missing = set(self._endpoints) - set(listed)
        for endpoint_id in missing:
            self.mark_removed(endpoint_id, now)
        for endpoint in listed.values():
            if is_restored and endpoint.incarnation_id in self._removed:
                until = now + UNCONFIRMED_S
                self._unconfirmed_until[endpoint.endpoint_id] = until
            self._add(endpoint)

    def note_outage(self, now: float) -> None:
        """Record that the list could not be read just now."""
        self._outage_at = now

    def expire(self, now: float) -> None:
        """Remove endpoints whose removal is due, and cold times that passed."""
        self._cold_until = {
            incarnation_id: until
            for incarnation_id, until in self._cold_until.items()
            if until > now
        }
        self._unconfirmed_until = {
            endpoint_id: until
            for endpoint_id, until in self._unconfirmed_until.items()
            if until > now
        }
        overdue = [
            endpoint_id
            for endpoint_id, until in self._removal_due_at.items()
            if until <= now
        ]
        for endpoint_id in overdue:
            self._remove(endpoint_id)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint of an id."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> Iterator[Endpoint]:
        """Yield every endpoint."""
        yield from self._endpoints.values()

    def incarnation_ids(self) -> set[str]:
        """Return the identifiers of all listed incarnations."""
        return {
            endpoint.incarnation_id for endpoint in self._endpoints.values()
        }

    def at_host(self, host: str) -> Endpoint | None:
        """Return the endpoint that was listed last at a host."""
        return self._endpoints.get(self._by_host.get(host, ''))

    def of_service(self, service: str) -> Iterator[Endpoint]:
        """Yield every endpoint of a service."""
        yield from self._by_service.get(service, {}).values()

    def is_eligible(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint may get new calls."""
        if not endpoint.ready or endpoint.zone in self.evacuated:
            return False
        endpoint_id = endpoint.endpoint_id
        since = self._unconfirmed_until.get(endpoint_id, -math.inf)
        return since <= now < self._removal_due_at.get(endpoint_id, math.inf)

    def eligible(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new calls."""
        endpoints = self.of_service(service)
        return [
            endpoint
            for endpoint in endpoints
            if self.is_eligible(endpoint, now)
        ]

    def _add(self, endpoint: Endpoint) -> None:
        if endpoint.born:
            if endpoint.born < self._latest_born.get(endpoint.endpoint_id, 0):
                return
            keep_newest(
                self._latest_born,
                endpoint.endpoint_id,
                endpoint.born,
                _MAX_KEPT,
            )
        incarnation_id = endpoint.incarnation_id
        if not endpoint.ready:
            keep_newest(self._leaving, incarnation_id, None, _MAX_KEPT)
        elif incarnation_id in self._leaving:
            endpoint = dataclasses.replace(endpoint, ready=False)
        self._put(endpoint)

    def _put(self, endpoint: Endpoint) -> None:
        self.change_count += 1
        known = self._endpoints.get(endpoint.endpoint_id)
        if known is not None:
            self._remove_from_indexes(known)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._by_service.setdefault(endpoint.service, {})[
            endpoint.endpoint_id
        ] = endpoint
        self._by_host[endpoint.host] = endpoint.endpoint_id
        self._removal_due_at.pop(endpoint.endpoint_id, None)
        self._removed.pop(endpoint.incarnation_id, None)

    def _remove(self, endpoint_id: str) -> None:
        self._removal_due_at.pop(endpoint_id, None)
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        self.change_count += 1
        self._remove_from_indexes(endpoint)
        keep_newest(self._removed, endpoint.incarnation_id, None, _MAX_KEPT)

    def _remove_from_indexes(self, endpoint: Endpoint) -> None:
        """Remove an endpoint; another one may own its address by now."""
        self._by_service[endpoint.service].pop(endpoint.endpoint_id)
        if self._by_host.get(endpoint.host) == endpoint.endpoint_id:
            self._by_host.pop(endpoint.host)
