"""Greet the processes beside the engines that this entry hears."""

import dataclasses
import itertools
from collections import defaultdict
from collections.abc import Callable, Mapping

from linnetwood.calls.candidates import Candidates, draw
from linnetwood.calls.directory import Directory
from linnetwood.calls.engine import EngineFigures
from linnetwood.calls.routetable import Origin, RouteTable
from linnetwood.fleet.news import Address, NewsSocket
from linnetwood.fleet.peerlist import PeerListServer, ZonesByHost
from linnetwood.fleet.reportsubscribers import report_every_s
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.gen.wire.ttypes import EntryNews, News

_MILLISECONDS = 1000
_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class _Around:
    """The engines of a service, and what was worked out of their places."""

    places: ZonesByHost
    digest: int
    revision: int
    heard: Mapping[str, float]
    # At this pace all that is heard stays within its bound.
    every_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """What greetings are about, but for ages."""

    digests: Mapping[str, int]
    versions: Mapping[str, tuple[int, ...]]
    origin: Origin


def _unknown() -> int:
    return 0


class Greetings:
    """Tell what is wanted to those that are to report."""

    def __init__(
        self,
        me: str,
        zone: str,
        directory: Directory,
        candidates: Candidates,
        wanted: WantedVersions,
    ) -> None:
        """Greet as the entry of a host in an availability zone."""
        self.peers = PeerListServer()
        # The revision of the platform's store that the directory is of.
        self.revision: Callable[[], int] = _unknown
        self._me = me
        self._zone = zone
        self._directory = directory
        self._candidates = candidates
        self._wanted = wanted
        self._around: dict[str, _Around] = {}
        self._number = 0
        self._told: _Told | None = None

    def near(self, host: str) -> bool:
        """Tell whether a host that is heard is of this zone."""
        return any(
            around.places.get(host) == self._zone
            for around in self._around.values()
        )

    def changed(self, route_table: RouteTable) -> bool:
        """Tell whether there is news since this was asked last.

        Most changes of the list are of load and warmth, and no news here.
        """
        self._look_around(route_table)
        digests = {name: one.digest for name, one in self._around.items()}
        told = _Told(
            digests, self._wanted.versions_by_model(), route_table.origin
        )
        before = self._told
        self._told = told
        return told != before

    def tell(
        self,
        route_table: RouteTable,
        now: float,
        news: NewsSocket,
        port: int,
    ) -> None:
        """Greet those heard of each service that has engines."""
        self._look_around(route_table)
        self._number += 1
        for service, around in self._around.items():
            engine = route_table.services[service].engine
            if engine is not None:
                greeting = self._greeting(
                    service, engine, route_table.origin, now
                )
                self._send(greeting, around, news, port)

    def _look_around(self, route_table: RouteTable) -> None:
        """Draw anew whom to hear where engines have come or gone."""
        known = self._around
        self._around = {
            service.name: around
            for service in route_table.services.values()
            if service.engine is not None
            and (around := self._around_of(service.name, known)) is not None
        }
        if self._around != known:
            heard = [around.heard for around in self._around.values()]
            self._candidates.hear(itertools.chain.from_iterable(heard))

    def _around_of(
        self,
        service: str,
        known: Mapping[str, _Around],
    ) -> _Around | None:
        listed = list(self._directory.of_service(service))
        for endpoint in listed:
            self._wanted.add_serving(endpoint.versions.items())
        places = {one.host: one.zone for one in listed}
        around = known.get(service)
        if around is not None and around.places == places:
            return around
        return self._drawn(places) if places else None

    def _drawn(self, places: ZonesByHost) -> _Around:
        revision = self.revision()
        heard = draw(self._me, self._zone, places)
        return _Around(
            places,
            self.peers.update(places, revision),
            revision,
            heard,
            report_every_s([places[host] for host in heard], self._zone),
        )

    def _greeting(
        self,
        service: str,
        engine: EngineFigures,
        origin: Origin,
        now: float,
    ) -> EntryNews:
        return EntryNews(
            number=self._number,
            wanted=self._wanted.to_messages(service, engine.models, now),
            origin=f'{origin.host}:{origin.port}' if origin.host else '',
            chunk_bytes=engine.chunk_bytes,
            chunks=engine.chunks,
            origin_bytes_per_s=int(origin.bytes_per_s),
            zone=self._zone,
        )

    def _send(
        self,
        greeting: EntryNews,
        around: _Around,
        news: NewsSocket,
        port: int,
    ) -> None:
        greeting.peers_digest = around.digest
        greeting.peers_revision = around.revision
        greeting.every_ms = int(around.every_s * _MILLISECONDS)
        # One encoding serves all hosts for which it says the same.
        alike: dict[int, list[Address]] = defaultdict(list)
        for host, stands_for in around.heard.items():
            alike[round(stands_for * _PERCENT)].append((host, port))
        for stands_for_pct, addresses in alike.items():
            greeting.stands_for_pct = stands_for_pct
            news.send(News(entry=greeting), addresses)
