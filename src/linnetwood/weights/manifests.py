"""Find the manifest of a version: a few ask the origin, the others those few.

Load pattern: a version is named, and a hundred VMs need its manifest at once
from an origin that takes few connections and brings about a megabyte a second.
Asked by all, manifests alone took the origin's link for most of a second, and
whoever was turned away asked again three times a second. Now two VMs of a zone
ask at once; word of what a peer holds tells the others whom to ask, and whoever
hears of nobody asks the origin at its turn.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import LinnetwoodError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.waits import happened
from linnetwood.fleet.members import hash64
from linnetwood.gen.wire.ttypes import ChunkReply
from linnetwood.weights import chunks
from linnetwood.weights.engine import Origin
from linnetwood.wire.connections import Address

# One asks, and one more in case it is gone or its way is slow.
_FIRST_READERS = 2
# A holder's word comes within two of its ticks, and a manifest of 3 KB after
# that; so long the next VM waits for the one before.
_TURN_S = 0.15
# A version's bound can spare no more for a zone whose readers are all gone.
_TURN_MOST_S = 1.5
# A holder that serves others is asked again soon.
_AGAIN_S = 0.1
# An origin that fails is left alone for as long as one that fails a chunk.
_AWAY_FIRST_S = 0.1
_AWAY_MOST_S = 0.8
_AWAY_LEAST_SHARE = 0.5
# So many more are asked of whom no word has come. While the origin is away all
# VMs of a fleet ask, up to three times a second each; all partners would be 36
# connections in each try.
_ASKED_BLINDLY = 2
# So many of those who hold a manifest are known, and of so many manifests.
_HOLDERS_KEPT = 32
_NAMES_KEPT = 4


class PeerFetcher(Protocol):
    """Ask a peer for a chunk, or for a manifest in its place."""

    async def fetch(
        self,
        vm: str,
        address: Address,
        manifest: str,
        index: int,
    ) -> tuple[ChunkReply, bytes]:
        """Give the reply and the bytes, if any."""


def rank(me: str, vms: set[str], name: str) -> int:
    """Give this VM's place among those of its zone; all agree on it."""
    order = sorted(vms | {me}, key=lambda vm: hash64(f'{name}|read|{vm}'))
    return order.index(me)


def turn_s(place: int) -> float:
    """Give after how long the VM of a place asks the origin."""
    return min(_TURN_MOST_S, max(0, place + 1 - _FIRST_READERS) * _TURN_S)


class ManifestFinder:
    """Know who holds which manifest, and find one."""

    def __init__(
        self,
        me: str,
        fetcher: PeerFetcher,
        origin: Origin,
        port: int,
        rng: Random,
    ) -> None:
        """Know of no holder; all peers serve on one port."""
        self._me = me
        self._fetcher = fetcher
        self._origin = origin
        self._port = port
        self._rng = rng
        self._holders: dict[str, list[str]] = {}
        self._heard = asyncio.Event()
        self._failures = 0

    def record_holder(self, name: str, host: str) -> None:
        """Take in that a peer holds a manifest."""
        holders = self._holders.setdefault(name, [])
        while len(self._holders) > _NAMES_KEPT:
            self._holders.pop(next(iter(self._holders)))
        if host not in holders:
            holders.append(host)
            del holders[:-_HOLDERS_KEPT]  # noqa: WPS420
            self._heard.set()

    async def find(
        self,
        model: str,
        version: int,
        near: set[str],
        partners: Callable[[str], list[str]],
    ) -> chunks.Manifest:
        """Give the manifest; raise WeightsError where nobody has it yet."""
        name = f'{model}@{version}'
        loop = asyncio.get_running_loop()
        until = loop.time() + self._wait_s(name, near)
        while loop.time() < until:
            self._heard.clear()
            found = await self._of_peers(self._holding(name), name)
            if found is not None:
                return found
            left_s = until - loop.time()
            await happened(self._heard, min(_AGAIN_S, max(0, left_s)))
        found = await self._of_origin(model, version)
        if found is None:
            paired = partners(name)
            count = min(len(paired), _ASKED_BLINDLY)
            untold = self._rng.sample(paired, count)
            peers = [*self._holding(name), *untold]
            found = await self._of_peers(list(dict.fromkeys(peers)), name)
        if found is None:
            raise WeightsError('manifest-not-found', name)
        return found

    async def _of_origin(
        self,
        model: str,
        version: int,
    ) -> chunks.Manifest | None:
        try:
            found = await self._origin.manifest(model, version)
        except WeightsError as exc:
            self._failures += 1
            log(Event.ORIGIN_UNREACHABLE, code=exc.code, detail=exc.detail)
            return None
        self._failures = 0
        return found

    def _wait_s(self, name: str, near: set[str]) -> float:
        """Give after how long to ask the origin: later where it has failed."""
        wait_s = turn_s(rank(self._me, near, name))
        if not self._failures:
            return wait_s
        return wait_s + pause_s(
            self._failures,
            self._rng,
            _AWAY_FIRST_S,
            _AWAY_MOST_S,
            _AWAY_LEAST_SHARE,
        )

    def _holding(self, name: str) -> list[str]:
        holders = list(self._holders.get(name, ()))
        self._rng.shuffle(holders)
        return holders

    async def _of_peers(
        self,
        hosts: list[str],
        name: str,
    ) -> chunks.Manifest | None:
        for host in hosts:
            try:
                _, encoded = await self._fetcher.fetch(
                    host,
                    (host, self._port),
                    name,
                    chunks.MANIFEST_INDEX,
                )
            except LinnetwoodError as exc:
                log(Event.PEER_UNREACHABLE, peer=host, code=exc.code)
                self._gone(name, host)
                continue
            if encoded:
                self._failures = 0
                return chunks.parse_manifest(encoded)
        return None

    def _gone(self, name: str, host: str) -> None:
        holders = self._holders.get(name, [])
        if host in holders:
            holders.remove(host)
