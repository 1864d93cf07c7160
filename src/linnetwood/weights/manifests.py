"""Find the manifest of a version: few VMs read it from the origin.

Load pattern: a version is published, and 100 VMs need its manifest at once from
an origin that accepts few connections and sends about 1 MB/s. If all requested
it there, manifests alone would take the origin's link for most of a second, and
refused VMs would retry 3 times a second. So 2 VMs of a zone request it at once;
the others read it from peers that report to hold it, and a VM without a known
holder requests it from the origin at its turn.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from linnetwood.core.backoff import pause_s
from linnetwood.core.errors import LinnetwoodError, WeightsError
from linnetwood.core.events import Event, log
from linnetwood.core.waits import wait_for_event
from linnetwood.fleet.members import hash64
from linnetwood.gen.wire.ttypes import ChunkReply
from linnetwood.weights import chunks
from linnetwood.weights.engine import Origin
from linnetwood.wire.connections import Address

# One would do; the second covers a VM that is gone or has a slow link.
_FIRST_READERS = 2
# How long a VM waits for the one before it: a holder's notice arrives within 2
# of the holder's ticks, and a manifest of 3 KB after that.
_TURN_S = 0.15
# Longest wait that a version's time bound allows if all readers of a zone are
# gone.
_MAX_WAIT_S = 1.5
# Pause before holders that were busy with other requests are tried again.
_RETRY_S = 0.1
# Backoff after a failure of the origin, the same as for chunks.
_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 0.8
_BACKOFF_MIN_SHARE = 0.5
# Number of peers tried that have sent no notice. While the origin is
# unreachable all VMs of a fleet try, up to 3 times a second each; trying all
# partners would open 36 connections each time.
_UNREPORTED_PEERS = 2
# Number of holders remembered per manifest, and of manifests with holders.
_MAX_HOLDERS = 32
_MAX_MANIFESTS = 4


class PeerFetcher(Protocol):
    """Request a chunk from a peer, or the manifest as index -1."""

    async def fetch(
        self,
        vm: str,
        address: Address,
        manifest: str,
        index: int,
    ) -> tuple[ChunkReply, bytes]:
        """Give the reply and the bytes, if any."""


def rank(me: str, vms: set[str], name: str) -> int:
    """Give this VM's rank in its zone, from 0; all VMs compute the same."""
    order = sorted(vms | {me}, key=lambda vm: hash64(f'{name}|read|{vm}'))
    return order.index(me)


def origin_wait_s(vm_rank: int) -> float:
    """Give the seconds until the VM of a rank asks the origin."""
    return min(_MAX_WAIT_S, max(0, vm_rank + 1 - _FIRST_READERS) * _TURN_S)


def accept_any(manifest: chunks.Manifest) -> bool:
    """Accept each manifest that can be parsed."""
    return True


class ManifestFinder:
    """Record the holders of manifests, and find a manifest."""

    def __init__(
        self,
        me: str,
        fetcher: PeerFetcher,
        origin: Origin,
        port: int,
        rng: Random,
    ) -> None:
        """Start without holders; all peers serve on one port."""
        self._me = me
        self._fetcher = fetcher
        self._origin = origin
        self._port = port
        self._rng = rng
        self._holders: dict[str, list[str]] = {}
        self._holder_added = asyncio.Event()
        self._failures = 0

    def record_holder(self, name: str, host: str) -> None:
        """Record that a peer holds a manifest."""
        holders = self._holders.setdefault(name, [])
        while len(self._holders) > _MAX_MANIFESTS:
            self._holders.pop(next(iter(self._holders)))
        if host not in holders:
            holders.append(host)
            del holders[:-_MAX_HOLDERS]  # noqa: WPS420
            self._holder_added.set()

    async def find(
        self,
        model: str,
        version: int,
        near: set[str],
        partners: Callable[[str], list[str]],
        accepts: Callable[[chunks.Manifest], bool] = accept_any,
    ) -> chunks.Manifest:
        """Give the manifest; raise WeightsError if no source has it yet.

        One that is not accepted counts as not found there.
        """
        name = f'{model}@{version}'
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._origin_wait_s(name, near)
        while loop.time() < deadline:
            self._holder_added.clear()
            found = await self._from_peers(
                self._shuffled_holders(name), name, accepts
            )
            if found is not None:
                return found
            left_s = deadline - loop.time()
            await wait_for_event(
                self._holder_added, min(_RETRY_S, max(0, left_s))
            )
        found = await self._from_origin(model, version)
        if found is None or not accepts(found):
            all_partners = partners(name)
            count = min(len(all_partners), _UNREPORTED_PEERS)
            unreported = self._rng.sample(all_partners, count)
            peers = [*self._shuffled_holders(name), *unreported]
            found = await self._from_peers(
                list(dict.fromkeys(peers)), name, accepts
            )
        if found is None:
            raise WeightsError('manifest-not-found', name)
        return found

    async def _from_origin(
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

    def _origin_wait_s(self, name: str, near: set[str]) -> float:
        """Give the seconds until a request to the origin, more if it failed."""
        wait_s = origin_wait_s(rank(self._me, near, name))
        if not self._failures:
            return wait_s
        return wait_s + pause_s(
            self._failures,
            self._rng,
            _BACKOFF_FIRST_S,
            _BACKOFF_MAX_S,
            _BACKOFF_MIN_SHARE,
        )

    def _shuffled_holders(self, name: str) -> list[str]:
        holders = list(self._holders.get(name, ()))
        self._rng.shuffle(holders)
        return holders

    async def _from_peers(
        self,
        hosts: list[str],
        name: str,
        accepts: Callable[[chunks.Manifest], bool],
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
                self._remove_holder(name, host)
                continue
            if not encoded:
                continue
            self._failures = 0
            found = chunks.parse_manifest(encoded)
            if accepts(found):
                return found
        return None

    def _remove_holder(self, name: str, host: str) -> None:
        holders = self._holders.get(name, [])
        if host in holders:
            holders.remove(host)
