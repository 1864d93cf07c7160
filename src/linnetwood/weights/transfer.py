"""Download a version's chunks as the swarm plans it."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

from linnetwood.core.clock import Clock
from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.options import Transfer
from linnetwood.core.owner import supervise
from linnetwood.core.waits import wait_for_event
from linnetwood.gen.wire.ttypes import HeldNotice, Member
from linnetwood.weights import chunks
from linnetwood.weights.exchange import Fetcher, TransferCounters, Uploads
from linnetwood.weights.inboundlink import InboundLink
from linnetwood.weights.reading import DueTimes, OriginPolicy
from linnetwood.weights.rejectedchunks import RejectedChunks
from linnetwood.weights.swarm import ORIGIN, Fetch, Swarm
from linnetwood.weights.swarmoptions import SwarmOptions
from linnetwood.wire.connections import Address
from linnetwood.wire.links import Link

_MAX_PLAN_INTERVAL_S = 0.25
_PLAN_PAUSE_S = 0.01


class WeightStore(Protocol):
    """Read manifests and chunks from the origin."""

    async def read(self, manifest: str, index: int) -> bytes:
        """Read one chunk; raise WeightsError if that fails."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """The collaborators and settings of a download."""

    me: str
    store: chunks.ChunkStore
    fetcher: Fetcher
    uploads: Uploads
    origin: WeightStore
    link: Link
    clock: Clock
    rng: Random
    counters: TransferCounters
    metrics: Metrics
    cfg: Transfer
    inbound_link: InboundLink = dataclasses.field(default_factory=InboundLink)


class Download:
    """Download one manifest's chunks; one task owns all of its state."""

    def __init__(
        self,
        name: str,
        manifest: chunks.Manifest,
        tools: Tools,
        policy: OriginPolicy,
        cfg: SwarmOptions,
        far: DueTimes | None = None,
    ) -> None:
        """Start from the chunks that the store holds already."""
        self.name = name
        self.manifest = manifest
        self.swarm = Swarm(
            len(manifest.digests),
            tools.store.held(manifest),
            cfg,
            policy,
            tools.rng,
            tools.clock.now(),
            far,
            tools.inbound_link,
        )
        self.on_chunk_kept: Callable[[int, bytes], None] | None = None
        # Called with a chunk that may not fit for a fault of the manifest, and
        # the digest of what was received for it.
        self.on_manifest_doubted: Callable[[int, bytes], None] | None = None
        self._rejected = RejectedChunks()
        self._tools = tools
        self._addresses: dict[str, Address] = {}
        self._wake = asyncio.Event()
        self._fetches: dict[int, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start fetching."""
        self._tools.uploads.manifests[self.name] = self.manifest
        self._tasks = [
            asyncio.create_task(supervise('Download', self._run)),
        ]

    async def close(self) -> None:
        """Cancel every fetch."""
        tasks = [*self._tasks, *self._fetches.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.swarm.close()

    def replace_manifest(self, found: chunks.Manifest, index: int) -> None:
        """Use another manifest for the chunks that are not held.

        Chunks that are held fit the manifest so far, so it is right about them.
        """
        digests = (
            old if self.swarm.held >> number & 1 else new
            for number, (old, new) in enumerate(
                zip(self.manifest.digests, found.digests, strict=True)
            )
        )
        self.manifest = dataclasses.replace(found, digests=tuple(digests))
        self._tools.uploads.manifests[self.name] = self.manifest
        self.swarm.bad_reads.forget(index)
        for vm in self._rejected.forget(index):
            peer = self.swarm.peers.get(vm)
            if peer is not None:
                # What it sent was right.
                peer.bad_chunks = 0
                peer.blocked_until = float()
        self._wake.set()

    def set_near(self, vms: Collection[str]) -> None:
        """Set the neighbours that are near; requests to them cost little."""
        self.swarm.mark_nearby(vms)

    def set_neighbours(self, members: list[Member]) -> None:
        """Set the peers to exchange chunks with."""
        wanted = {member.vm: (member.host, member.port) for member in members}
        for vm in set(self._addresses) - set(wanted):
            self.swarm.remove_peer(vm)
        for vm in wanted:
            self.swarm.add_peer(vm)
        self._addresses = wanted
        self._wake.set()

    def record_notice(self, notice: HeldNotice) -> None:
        """Record the chunks that a peer reports to hold."""
        if notice.sender not in self._addresses:
            return
        held = chunks.unpack_bitmap(notice.held, self.swarm.count)
        self.swarm.update_peer(notice.sender, held, notice.queued)
        self._wake.set()

    async def _run(self) -> None:
        while not self.swarm.complete:
            # Notices arrive in bursts; one plan covers a whole burst.
            await asyncio.sleep(_PLAN_PAUSE_S)
            self._wake.clear()
            now = self._tools.clock.now()
            received_at = self._tools.fetcher.last_received_at()
            for index in self.swarm.expired(now, received_at):
                self._time_out(index, now)
            for fetch in self.swarm.plan(now):
                self._start_fetch(fetch)
            await wait_for_event(self._wake, _MAX_PLAN_INTERVAL_S)

    def _start_fetch(self, fetch: Fetch) -> None:
        task = asyncio.create_task(self._fetch(fetch))
        self._fetches[fetch.index] = task
        task.add_done_callback(lambda _: self._wake.set())

    def _time_out(self, index: int, now: float) -> None:
        task = self._fetches.pop(index, None)
        if task is not None:
            task.cancel()
        pending = self.swarm.pending.get(index)
        if pending is not None:
            self.swarm.record_failure(index, pending.source)
            self.swarm.record_silence(pending.source, now)
            log(
                Event.PEER_SILENT,
                manifest=self.name,
                index=index,
                peer=pending.source,
            )

    async def _fetch(self, fetch: Fetch) -> None:
        try:
            if fetch.source == ORIGIN:
                chunk = await self._fetch_from_origin(fetch.index)
            else:
                chunk = await self._fetch_from_peer(fetch)
        except LinnetwoodError as exc:
            self.swarm.record_failure(fetch.index, fetch.source)
            if fetch.source == ORIGIN:
                self.swarm.record_origin_failure(self._tools.clock.now())
                log(Event.ORIGIN_UNREACHABLE, detail=str(exc))
            return
        if chunk:
            self._keep(fetch, chunk)
        else:
            self.swarm.record_failure(fetch.index, fetch.source)

    async def _fetch_from_origin(self, index: int) -> bytes:
        if self.swarm.policy.is_takeover(index):
            log(Event.ORIGIN_TAKEN_OVER, manifest=self.name, index=index)
        chunk = await self._tools.origin.read(self.name, index)
        self.swarm.record_origin_answer(self._tools.clock.now())
        await self._tools.link.receive(len(chunk))
        self._tools.counters.origin_bytes += len(chunk)
        self._tools.metrics.count(Metric.ORIGIN_BYTES, len(chunk))
        return chunk

    async def _fetch_from_peer(self, fetch: Fetch) -> bytes:
        address = self._addresses.get(fetch.source)
        if address is None:
            raise WireError('no-neighbour', fetch.source)
        reply, chunk = await self._tools.fetcher.fetch(
            fetch.source,
            address,
            self.name,
            fetch.index,
            lambda: self._record_first_byte(fetch),
        )
        held = chunks.unpack_bitmap(reply.held, self.swarm.count)
        self.swarm.update_peer(fetch.source, held, reply.queued)
        self._tools.counters.peer_bytes += len(chunk)
        return chunk

    def _record_first_byte(self, fetch: Fetch) -> None:
        now = self._tools.clock.now()
        self.swarm.record_first_byte(fetch.index, fetch.source, now)

    def _keep(self, fetch: Fetch, chunk: bytes) -> None:
        tools = self._tools
        if not tools.store.keep(self.manifest, fetch.index, chunk):
            self._reject(fetch, hashlib.sha256(chunk).digest())
            return
        tools.metrics.count(Metric.CHUNKS_RECEIVED)
        if not self.swarm.record_chunk(fetch.index, fetch.source):
            tools.counters.repeated_bytes += len(chunk)
            tools.metrics.count(Metric.CHUNKS_REPEATED)
        if self.on_chunk_kept is not None:
            self.on_chunk_kept(fetch.index, chunk)

    def _reject(self, fetch: Fetch, digest: bytes) -> None:
        tools = self._tools
        tools.counters.bad_chunks += 1
        tools.metrics.count(Metric.CHUNKS_BAD)
        self.swarm.record_failure(fetch.index, fetch.source)
        log(
            Event.CHUNK_BAD,
            manifest=self.name,
            index=fetch.index,
            source=fetch.source or 'origin',
        )
        if fetch.source == ORIGIN:
            self.swarm.bad_reads.record(fetch.index, tools.clock.now())
        else:
            self.swarm.record_bad_chunk(fetch.source, tools.clock.now())
        is_repeated = self._rejected.add(fetch.index, digest, fetch.source)
        if is_repeated and self.on_manifest_doubted is not None:
            self.on_manifest_doubted(fetch.index, digest)
