"""Bring a version's chunks here, as the swarm decides."""

import asyncio
import dataclasses
from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

from linnetwood.core.clock import Clock
from linnetwood.core.errors import LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.options import Transfer
from linnetwood.core.waits import happened
from linnetwood.gen.wire.ttypes import HeldNotice, Member
from linnetwood.weights import chunks
from linnetwood.weights.bounds import SwarmOptions
from linnetwood.weights.exchange import Fetcher, Tally, Uploads
from linnetwood.weights.inflow import Inflow
from linnetwood.weights.reading import DueTimes, OriginPolicy
from linnetwood.weights.swarm import ORIGIN, Fetch, Swarm
from linnetwood.wire.connections import Address
from linnetwood.wire.links import Link

_WAKE_S = 0.25
_PLAN_PAUSE_S = 0.01


class WeightStore(Protocol):
    """Read manifests and chunks from the origin."""

    async def read(self, manifest: str, index: int) -> bytes:
        """Read one chunk; raise WeightsError when it can't be had."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What a download works with."""

    me: str
    store: chunks.ChunkStore
    fetcher: Fetcher
    uploads: Uploads
    origin: WeightStore
    link: Link
    clock: Clock
    rng: Random
    tally: Tally
    metrics: Metrics
    cfg: Transfer
    inflow: Inflow = dataclasses.field(default_factory=Inflow)


class Download:
    """Bring one manifest's chunks here; one task owns all of its state."""

    def __init__(
        self,
        name: str,
        manifest: chunks.Manifest,
        tools: Tools,
        policy: OriginPolicy,
        cfg: SwarmOptions,
        far: DueTimes | None = None,
    ) -> None:
        """Start from what the store holds already."""
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
            tools.inflow,
        )
        self.kept: Callable[[int, bytes], None] | None = None
        self._tools = tools
        self._addresses: dict[str, Address] = {}
        self._wake = asyncio.Event()
        self._fetches: dict[int, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to fetch."""
        self._tools.uploads.manifests[self.name] = self.manifest
        self._tasks = [
            asyncio.create_task(self._run()),
        ]

    async def close(self) -> None:
        """Stop every fetch."""
        tasks = [*self._tasks, *self._fetches.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.swarm.close()

    def nearby(self, vms: Collection[str]) -> None:
        """Set which neighbours cost little to ask."""
        self.swarm.nearby(vms)

    def neighbours(self, members: list[Member]) -> None:
        """Set whom to exchange chunks with."""
        wanted = {member.vm: (member.host, member.port) for member in members}
        for vm in set(self._addresses) - set(wanted):
            self.swarm.part(vm)
        for vm in wanted:
            self.swarm.meet(vm)
        self._addresses = wanted
        self._wake.set()

    def notice(self, notice: HeldNotice) -> None:
        """Take in what a peer says it holds."""
        if notice.sender not in self._addresses:
            return
        held = chunks.from_bytes(notice.held, self.swarm.count)
        self.swarm.notice(notice.sender, held, notice.queued)
        self._wake.set()

    async def _run(self) -> None:
        while not self.swarm.complete:
            # Notices come in crowds; one plan serves them all.
            await asyncio.sleep(_PLAN_PAUSE_S)
            self._wake.clear()
            now = self._tools.clock.now()
            heard_at = self._tools.fetcher.heard_at()
            for index in self.swarm.expired(now, heard_at):
                self._give_up(index, now)
            for fetch in self.swarm.plan(now):
                self._begin(fetch)
            await happened(self._wake, _WAKE_S)

    def _begin(self, fetch: Fetch) -> None:
        task = asyncio.create_task(self._fetch(fetch))
        self._fetches[fetch.index] = task
        task.add_done_callback(lambda _: self._wake.set())

    def _give_up(self, index: int, now: float) -> None:
        task = self._fetches.pop(index, None)
        if task is not None:
            task.cancel()
        pending = self.swarm.pending.get(index)
        if pending is not None:
            self.swarm.failed(index, pending.source)
            self.swarm.avoid(pending.source, now)
            log(
                Event.PEER_SILENT,
                manifest=self.name,
                index=index,
                peer=pending.source,
            )

    async def _fetch(self, fetch: Fetch) -> None:
        try:
            if fetch.source == ORIGIN:
                chunk = await self._from_origin(fetch.index)
            else:
                chunk = await self._from_peer(fetch)
        except LinnetwoodError as exc:
            self.swarm.failed(fetch.index, fetch.source)
            if fetch.source == ORIGIN:
                self.swarm.origin_failed(self._tools.clock.now())
                log(Event.ORIGIN_UNREACHABLE, detail=str(exc))
            return
        if chunk:
            self._keep(fetch, chunk)
        else:
            self.swarm.failed(fetch.index, fetch.source)

    async def _from_origin(self, index: int) -> bytes:
        if self.swarm.policy.is_takeover(index):
            log(Event.ORIGIN_TAKEN_OVER, manifest=self.name, index=index)
        chunk = await self._tools.origin.read(self.name, index)
        self.swarm.origin_answered(self._tools.clock.now())
        await self._tools.link.receive(len(chunk))
        self._tools.tally.origin_bytes += len(chunk)
        self._tools.metrics.count(Metric.ORIGIN_BYTES, len(chunk))
        return chunk

    async def _from_peer(self, fetch: Fetch) -> bytes:
        address = self._addresses.get(fetch.source)
        if address is None:
            raise WireError('no-neighbour', fetch.source)
        reply, chunk = await self._tools.fetcher.fetch(
            fetch.source,
            address,
            self.name,
            fetch.index,
            lambda: self._flows(fetch),
        )
        held = chunks.from_bytes(reply.held, self.swarm.count)
        self.swarm.notice(fetch.source, held, reply.queued)
        self._tools.tally.peer_bytes += len(chunk)
        return chunk

    def _flows(self, fetch: Fetch) -> None:
        now = self._tools.clock.now()
        self.swarm.flows(fetch.index, fetch.source, now)

    def _keep(self, fetch: Fetch, chunk: bytes) -> None:
        tools = self._tools
        if not tools.store.keep(self.manifest, fetch.index, chunk):
            self._reject(fetch)
            return
        tools.metrics.count(Metric.CHUNKS_RECEIVED)
        if not self.swarm.arrived(fetch.index, fetch.source):
            tools.tally.repeated_bytes += len(chunk)
            tools.metrics.count(Metric.CHUNKS_REPEATED)
        if self.kept is not None:
            self.kept(fetch.index, chunk)

    def _reject(self, fetch: Fetch) -> None:
        tools = self._tools
        tools.tally.bad_chunks += 1
        tools.metrics.count(Metric.CHUNKS_BAD)
        self.swarm.failed(fetch.index, fetch.source)
        log(
            Event.CHUNK_BAD,
            manifest=self.name,
            index=fetch.index,
            source=fetch.source or 'origin',
        )
        if fetch.source != ORIGIN:
            self.swarm.shun(fetch.source, tools.clock.now())
